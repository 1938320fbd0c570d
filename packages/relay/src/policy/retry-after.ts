/** What the time after which a refused caller may come back depends on. */
export interface RetryNumbers {
    /** Requests that are served before it: those that wait, and refused ones that are about to come back. */
    readonly ahead: number;
    /** Measured rate of service; undefined where it is not known. */
    readonly servedPerS: number | undefined;
    /** Time that the caller has left, in milliseconds. */
    readonly leftMs: number;
}

/** Shortest time after which a caller may come back, in seconds. */
const MIN_RETRY_AFTER_S = 0.1;

/** Time over which callers are spread where the rate of service is not known, in seconds; its mean is the earlier constant. */
const UNKNOWN_RATE_S = 0.9;

/** Share of the time left after which a caller comes back at the latest; callers do not wait longer than that. */
const MAX_LEFT_SHARE = 1 / 3;

const MS_PER_S = 1_000;

/**
 * Time after which a refused caller may come back, in seconds: spread at random over the time in which those ahead are served, so
 * that callers that are refused together do not come back together. `random` is in [0, 1).
 */
export const getRetryAfterS = ({ ahead, servedPerS, leftMs }: RetryNumbers, random: number): number => {
    const spanS = servedPerS === undefined ? UNKNOWN_RATE_S : (ahead + 1) / servedPerS;
    const latestS = Math.min(spanS, leftMs / MS_PER_S * MAX_LEFT_SHARE);
    return MIN_RETRY_AFTER_S + Math.max(0, latestS - MIN_RETRY_AFTER_S) * random;
};
