import type { TargetLoad } from "./target-loads.js";

/** What is usual at a target, by which an old report of it is completed. */
export interface UsualLoad {
    /** Requests that the target handles concurrently. */
    readonly slots: number;
    /** Requests that it would have with the mean load of its service. */
    readonly usual: number;
    /** Mean number of tokens that a request of the service holds. */
    readonly tokensPerRequest: number;
    /** Mean time for which a request is at a target, in milliseconds. */
    readonly holdMs: number;
}

/** Load that is expected at a target now. */
export interface ExpectedLoad {
    readonly requests: number;
    /** Whether one more request would find a free slot, and none waits, as one may for memory although slots are free. */
    readonly hasFreeSlot: boolean;
    /** Standard deviation of the requests. */
    readonly deviation: number;
    /** Tokens that fit into its memory beside what may be on its way to it; infinite where it has no such limit. */
    readonly freeTokens: number;
}

/** Share of a target's memory that is used; the values in reports are not exact. */
const MEMORY_SHARE = 0.95;

/** Longest time in which the difference to the mean load fades, in milliseconds: queues make requests stay longer, and the reports must not count more then. */
const MAX_FADE_MS = 1_000;

/** Expected number of waiting requests from which a queue counts as in use. */
const LEAST_QUEUED = 0.5;

/** Standard deviations above the mean up to which requests of others are expected to take memory. */
const DEVIATIONS = 2;

/**
 * Load of a target now, from a report that is some time old. The requests in it end in the mean time for which requests are at a target, and new ones arrive at
 * the mean rate, so that the difference to the mean load fades in that time. Without this, all instances send to the targets that had a free slot in the last
 * report. Memory counts the requests that may have arrived beyond those that ended.
 */
export const getExpectedLoad = (load: TargetLoad | undefined, usual: UsualLoad): ExpectedLoad => {
    if (load === undefined) {
        const hasFreeSlot = usual.usual + 1 <= usual.slots;
        return {
            requests: usual.usual,
            hasFreeSlot,
            deviation: Math.sqrt(usual.usual),
            freeTokens: Number.POSITIVE_INFINITY,
        };
    }
    const reported = load.running + load.queued;
    const weight = load.weight * Math.exp(-load.ageMs / Math.min(MAX_FADE_MS, usual.holdMs));
    const requests = weight * reported + (1 - weight) * usual.usual;
    // Requests come and go independently, so that without a report their number varies by its square root.
    const deviation = Math.sqrt(usual.usual * (1 - weight * weight));
    const arrivals = usual.usual * load.ageMs / usual.holdMs;
    // As many requests end as arrive on average; the difference varies by both.
    const arrived = DEVIATIONS * Math.sqrt(2 * arrivals) * usual.tokensPerRequest;
    const freeTokens = load.capacityTokens === 0
        ? Number.POSITIVE_INFINITY
        : load.capacityTokens * MEMORY_SHARE - load.usedTokens - arrived;
    const hasFreeSlot = requests + 1 <= usual.slots && weight * load.queued < LEAST_QUEUED;
    return { requests, hasFreeSlot, deviation, freeTokens };
};
