/** Constructor options. */
export interface LoadRateLimiterOptions {
    /** Loads per second that the weight store allows. */
    readonly loadsPerS?: number;
    /** Loads that it allows in a burst after a pause. */
    readonly burst?: number;
    /** Monotonic clock, in milliseconds. */
    readonly now?: () => number;
}

const DEFAULT_LOADS_PER_S = 1;
const DEFAULT_BURST = 2;

/** Limits loads of weights to the weight store's rate, with a token bucket. */
export class LoadRateLimiter {
    private readonly cfg: Required<LoadRateLimiterOptions>;
    private tokens: number;
    private lastMs: number;

    constructor(opts: LoadRateLimiterOptions = {}) {
        this.cfg = {
            loadsPerS: opts.loadsPerS ?? DEFAULT_LOADS_PER_S,
            burst: opts.burst ?? DEFAULT_BURST,
            now: opts.now ?? (() => performance.now()),
        };
        // A new holder does not know what the previous one loaded, so it starts with an empty bucket.
        this.tokens = 0;
        this.lastMs = this.cfg.now();
    }

    /**
     * Takes `loads` tokens; false where the loads have to wait.
     * An order larger than the burst waits for a full bucket and leaves it with a debt, which later orders wait for.
     */
    tryTake(loads: number): boolean {
        const nowMs = this.cfg.now();
        const refill = (nowMs - this.lastMs) / 1000 * this.cfg.loadsPerS;
        this.tokens = Math.min(this.cfg.burst, this.tokens + refill);
        this.lastMs = nowMs;
        if (this.tokens < Math.min(loads, this.cfg.burst)) {
            return false;
        }
        this.tokens -= loads;
        return true;
    }
}
