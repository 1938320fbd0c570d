/** Times of a request, in milliseconds. */
export interface RequestTimes {
    /** Time since its arrival. */
    readonly elapsedMs: number;
    /** Time after its arrival within which its response should begin, or be complete where it is no stream. */
    readonly latencyTargetMs: number;
    /** Time until its deadline. */
    readonly leftMs: number;
}

/** Share of the remaining objective within which a request is sent; the rest is for the target. */
const OBJECTIVE_SHARE = 0.5;

/** Share of the remaining deadline within which a request is sent whose objective has passed. */
const DEADLINE_SHARE = 0.25;

/** Longest time for which a request may wait for a target, in milliseconds. */
export const getWaitLimitMs = ({ elapsedMs, latencyTargetMs, leftMs }: RequestTimes, maxMs: number): number => {
    const objectiveMs = latencyTargetMs - elapsedMs;
    const limitMs = objectiveMs > 0 ? Math.min(leftMs, objectiveMs * OBJECTIVE_SHARE) : leftMs * DEADLINE_SHARE;
    return Math.max(0, Math.min(maxMs, limitMs));
};
