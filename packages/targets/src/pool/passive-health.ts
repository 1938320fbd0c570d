/** Options of {@link PassiveHealth}; times in milliseconds. */
export interface PassiveHealthOptions {
    /** Consecutive failures that eject a target. */
    readonly maxFailures?: number;
    /** Duration of the first ejection; each consecutive one takes twice as long. */
    readonly ejectionMs?: number;
    readonly maxEjectionMs?: number;
    /** Time from the end of an ejection to the full share of requests. */
    readonly slowReturnMs?: number;
}

const DEFAULT_MAX_FAILURES = 3;
const DEFAULT_EJECTION_MS = 1000;
const DEFAULT_MAX_EJECTION_MS = 30_000;
const DEFAULT_SLOW_RETURN_MS = 5000;
const MIN_WEIGHT = 0.1;

/** Health of one target, derived from the outcomes of this instance's requests. */
export class PassiveHealth {
    private consecutiveFailures = 0;
    private ejections = 0;
    private ejectedUntilMs: number | undefined;
    private readonly cfg: Required<PassiveHealthOptions>;

    constructor(opts: PassiveHealthOptions = {}) {
        this.cfg = {
            maxFailures: opts.maxFailures ?? DEFAULT_MAX_FAILURES,
            ejectionMs: opts.ejectionMs ?? DEFAULT_EJECTION_MS,
            maxEjectionMs: opts.maxEjectionMs ?? DEFAULT_MAX_EJECTION_MS,
            slowReturnMs: opts.slowReturnMs ?? DEFAULT_SLOW_RETURN_MS,
        };
    }

    /** Records a request that the target served. */
    recordSuccess(nowMs: number): void {
        this.consecutiveFailures = 0;
        if (this.getWeight(nowMs) === 1) {
            this.ejections = 0;
            this.ejectedUntilMs = undefined;
        }
    }

    /** Records a failed request; true where it ejects the target. */
    recordFailure(nowMs: number): boolean {
        this.consecutiveFailures += 1;
        // A target that returns from an ejection is ejected again by its first failure.
        const limit = this.ejections > 0 ? 1 : this.cfg.maxFailures;
        if (this.isEjected(nowMs) || this.consecutiveFailures < limit) {
            return false;
        }
        const ejectionMs = Math.min(this.cfg.ejectionMs * 2 ** this.ejections, this.cfg.maxEjectionMs);
        this.ejectedUntilMs = nowMs + ejectionMs;
        this.ejections += 1;
        return true;
    }

    /** Whether the target is ejected and gets no requests. */
    isEjected(nowMs: number): boolean {
        return this.ejectedUntilMs !== undefined && nowMs < this.ejectedUntilMs;
    }

    /** End of the ejection; `undefined` where there is none. */
    get endOfEjectionMs(): number | undefined {
        return this.ejectedUntilMs;
    }

    /** Share of the target's capacity that may be used: 0 while ejected, then growing to 1. */
    getWeight(nowMs: number): number {
        if (this.ejectedUntilMs === undefined) {
            return 1;
        }
        if (nowMs < this.ejectedUntilMs) {
            return 0;
        }
        return Math.min(1, MIN_WEIGHT + (nowMs - this.ejectedUntilMs) / this.cfg.slowReturnMs);
    }
}
