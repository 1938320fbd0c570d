import type { TargetLoad } from "../load/target-loads.js";

/** What the room of one target depends on. */
export interface AdmissionRoomNumbers {
    /** Requests that the target handles concurrently. */
    readonly slots: number;
    /** This instance's requests in flight at the target. */
    readonly inFlight: number;
    /** Load over all instances; undefined where it is not known. */
    readonly load: TargetLoad | undefined;
    /** Tokens that the request may use. */
    readonly tokens: number;
}

/**
 * Share of a target's slots that may be sent to it beyond them. Requests end between two reports, and without some that wait at the
 * target its slots would be idle until the next report.
 */
const QUEUE_SHARE = 0.25;

/**
 * Weight of a report below which it decides nothing. The queue that an old one shows has been served since, and a gate that follows it
 * is closed and open in turns.
 */
export const MIN_REPORT_WEIGHT = 0.25;

/** Requests that may be sent to a target, by its report as far as that still counts, otherwise by this instance's own requests; 0 or more. */
export const getAdmissionRoom = ({ slots, inFlight, load, tokens }: AdmissionRoomNumbers): number => {
    const weight = load?.weight ?? 0;
    if (load === undefined || weight < MIN_REPORT_WEIGHT) {
        return Math.max(0, slots - inFlight);
    }
    const hasMemory = load.capacityTokens === 0 || load.usedTokens * weight + tokens <= load.capacityTokens;
    const busy = Math.max(inFlight, weight * (load.running + load.queued) + (1 - weight) * inFlight);
    return hasMemory ? Math.max(0, Math.round(slots + Math.max(1, slots * QUEUE_SHARE) - busy)) : 0;
};
