/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
    /** Retries allowed for each first attempt. */
    readonly share?: number;
    /** Retries allowed each second, regardless of the traffic. */
    readonly floorPerS?: number;
    /** Maximum number of retries that can be saved up. */
    readonly maxSaved?: number;
    /** Monotonic clock, in milliseconds. */
    readonly now?: () => number;
}

const DEFAULT_SHARE = 0.1;
const DEFAULT_FLOOR_PER_S = 1;
const DEFAULT_MAX_SAVED = 20;

/** Limits retries to a share of first attempts, so that a slow target does not get more load because it is slow. */
export class RetryBudget {
    private readonly cfg: Required<RetryBudgetOptions>;
    private saved: number;
    private lastRefillMs: number;

    constructor(opts: RetryBudgetOptions = {}) {
        this.cfg = {
            share: opts.share ?? DEFAULT_SHARE,
            floorPerS: opts.floorPerS ?? DEFAULT_FLOOR_PER_S,
            maxSaved: opts.maxSaved ?? DEFAULT_MAX_SAVED,
            now: opts.now ?? (() => performance.now()),
        };
        this.saved = Math.min(this.cfg.floorPerS, this.cfg.maxSaved);
        this.lastRefillMs = this.cfg.now();
    }

    /** Records a request that is not a retry. */
    recordFirstAttempt(): void {
        this.save(this.cfg.share);
    }

    /** Takes one retry from the budget; false where it is exhausted. */
    tryRetry(): boolean {
        const nowMs = this.cfg.now();
        this.save((nowMs - this.lastRefillMs) / 1000 * this.cfg.floorPerS);
        this.lastRefillMs = nowMs;
        if (this.saved < 1) {
            return false;
        }
        this.saved -= 1;
        return true;
    }

    private save(amount: number): void {
        this.saved = Math.min(this.cfg.maxSaved, this.saved + amount);
    }
}
