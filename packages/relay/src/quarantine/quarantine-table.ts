import { BoundedMap } from "../bounded-map.js";
import { isWholeRequest } from "./watched-request.js";

/** Quarantine of one part, or its end; all times are monotonic and in milliseconds. */
export interface QuarantineEntry {
    readonly isCleared: boolean;
    /** Time of the decision; the later of two decisions counts. */
    readonly changedAtMs: number;
    /** End of the quarantine; from then on single requests are tried. */
    readonly untilMs: number;
    /** Number of quarantines of the part in sequence. */
    readonly strikes: number;
    /** Time of the first crash that the decision is based on. */
    readonly sinceMs: number;
    /** Crashes that the decision is based on. */
    readonly crashes: readonly string[];
    /** Smallest number of shared parts that followed this one in a prompt. */
    readonly followers: number;
}

/** Whether requests with a part are refused. */
export type QuarantinePhase =
    | "none"
    | "quarantined"
    /** Only single requests are sent, to learn whether the part still crashes targets. */
    | "trial";

/** Maximum number of parts. */
const MAX_PARTS = 1_024;

/** Duration of the first quarantine, in milliseconds; doubles with each that follows it. */
const FIRST_QUARANTINE_MS = 60_000;

/** Maximum duration of a quarantine, in milliseconds. */
const MAX_QUARANTINE_MS = 600_000;

/** Time after a quarantine in which only single requests are sent, in milliseconds; then it ends without a trial. */
export const TRIAL_PHASE_MS = 60_000;

/** Time after a quarantine for which the number of strikes is kept, in milliseconds. */
const STRIKES_TTL_MS = 1_200_000;

/**
 * Duration of the first quarantine of a whole request, in milliseconds, and the factor of each that follows it. Nobody but
 * its caller misses it, and each trial may crash a target.
 */
const FIRST_REQUEST_QUARANTINE_MS = 600_000;
const REQUEST_QUARANTINE_FACTOR = 6;

/** Maximum duration of a whole request's quarantine, and of the time after it, in milliseconds. */
const MAX_REQUEST_QUARANTINE_MS = 86_400_000;

/** Duration of a quarantine, in milliseconds. */
export const getQuarantineMs = (part: string, strikes: number): number =>
    isWholeRequest(part)
        ? Math.min(
            MAX_REQUEST_QUARANTINE_MS,
            FIRST_REQUEST_QUARANTINE_MS * REQUEST_QUARANTINE_FACTOR ** (strikes - 1),
        )
        : Math.min(MAX_QUARANTINE_MS, FIRST_QUARANTINE_MS * 2 ** (strikes - 1));

const getTrialPhaseMs = (part: string): number => isWholeRequest(part) ? MAX_REQUEST_QUARANTINE_MS : TRIAL_PHASE_MS;

const getStrikesTtlMs = (part: string): number => isWholeRequest(part) ? MAX_REQUEST_QUARANTINE_MS : STRIKES_TTL_MS;

/** Quarantined parts as known to this instance. */
export class QuarantineTable {
    private readonly entries = new BoundedMap<QuarantineEntry>(MAX_PARTS);

    /** Whether no part is known. */
    get isEmpty(): boolean {
        return this.entries.size === 0;
    }

    /** Applies a decision; returns whether it is newer than the known one. */
    apply(part: string, entry: QuarantineEntry): boolean {
        const known = this.entries.get(part);
        if (known !== undefined && known.changedAtMs >= entry.changedAtMs) {
            return false;
        }
        this.entries.set(part, entry);
        return true;
    }

    /** Returns the last decision about a part. */
    get(part: string, nowMs: number): QuarantineEntry | undefined {
        const entry = this.entries.get(part);
        if (entry !== undefined && nowMs >= entry.untilMs + getStrikesTtlMs(part)) {
            this.entries.delete(part);
            return undefined;
        }
        return entry;
    }

    /** Whether requests with a part are refused at a time. */
    getPhase(part: string, nowMs: number): QuarantinePhase {
        const entry = this.get(part, nowMs);
        if (entry === undefined || entry.isCleared || nowMs >= entry.untilMs + getTrialPhaseMs(part)) {
            return "none";
        }
        return nowMs < entry.untilMs ? "quarantined" : "trial";
    }

    /** All parts whose requests are refused at a time. */
    listActive(nowMs: number): readonly (readonly [string, QuarantineEntry])[] {
        return this.entries.list().filter(([part]) => this.getPhase(part, nowMs) !== "none");
    }
}
