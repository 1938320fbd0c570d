/** Limits of retries to one service, for the whole fleet. */
export interface RetryAllowanceOptions {
    /** Retries allowed for each request. */
    readonly ratio: number;
    /** Retries allowed in a window regardless of the traffic, shared by all instances. */
    readonly slack: number;
    /** Length of the sliding window, in milliseconds. */
    readonly windowMs: number;
    /** Number of instances that share the slack. */
    readonly getInstances: () => number;
    /** Monotonic clock, in milliseconds. */
    readonly now?: () => number;
}

/** Number of buckets that a window is divided into. */
const BUCKET_COUNT = 20;

/** Used share of the fleet's limit, since instances see the traffic and each other with a delay. */
const SAFETY_FACTOR = 0.8;

/** Counts requests and retries of one service in a sliding window. */
export class RetryAllowance {
    private readonly requests = new Array<number>(BUCKET_COUNT).fill(0);
    private readonly retries = new Array<number>(BUCKET_COUNT).fill(0);
    private readonly now: () => number;
    private bucket = 0;

    constructor(private readonly opts: RetryAllowanceOptions) {
        this.now = opts.now ?? (() => performance.now());
        this.bucket = this.currentBucket();
    }

    /** Counts a caller's request. */
    recordRequest(): void {
        this.advance();
        this.requests[this.bucket % BUCKET_COUNT] = (this.requests[this.bucket % BUCKET_COUNT] ?? 0) + 1;
    }

    /** Acquires one retry; returns false where the window's retries are used up. */
    tryAcquire(): boolean {
        this.advance();
        const sum = (counts: readonly number[]): number => counts.reduce((a, b) => a + b, 0);
        const { ratio, slack, getInstances } = this.opts;
        const allowed = SAFETY_FACTOR * (ratio * sum(this.requests) + slack / Math.max(1, getInstances()));
        if (sum(this.retries) + 1 > allowed) {
            return false;
        }
        this.retries[this.bucket % BUCKET_COUNT] = (this.retries[this.bucket % BUCKET_COUNT] ?? 0) + 1;
        return true;
    }

    private currentBucket(): number {
        return Math.floor(this.now() / (this.opts.windowMs / BUCKET_COUNT));
    }

    private advance(): void {
        const current = this.currentBucket();
        for (let steps = Math.min(BUCKET_COUNT, current - this.bucket); steps > 0; steps--) {
            const cleared = (current - steps + 1) % BUCKET_COUNT;
            this.requests[cleared] = 0;
            this.retries[cleared] = 0;
        }
        this.bucket = current;
    }
}
