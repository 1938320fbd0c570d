/** Bounds on repeated sends to one service, for the whole fleet. */
export interface RetryAllowanceOptions {
    /** Repeats allowed for each request. */
    readonly ratio: number;
    /** Repeats allowed in a window whatever the traffic, shared by all instances. */
    readonly slack: number;
    /** Length of the sliding window, in milliseconds. */
    readonly windowMs: number;
    /** Instances that share the slack. */
    readonly getInstances: () => number;
    /** Monotonic clock, in milliseconds. */
    readonly now?: () => number;
}

/** Parts of the window in which counts are kept. */
const BUCKETS = 20;

/** Share of the fleet's bound that is used, since instances see the traffic and each other late. */
const SAFETY = 0.8;

/** Counts requests and repeats of one service in a sliding window. */
export class RetryAllowance {
    private readonly requests = new Array<number>(BUCKETS).fill(0);
    private readonly repeats = new Array<number>(BUCKETS).fill(0);
    private readonly now: () => number;
    private bucket = 0;

    constructor(private readonly opts: RetryAllowanceOptions) {
        this.now = opts.now ?? (() => performance.now());
        this.bucket = this.currentBucket();
    }

    /** Notes a caller's request. */
    noteRequest(): void {
        this.advance();
        this.requests[this.bucket % BUCKETS] = (this.requests[this.bucket % BUCKETS] ?? 0) + 1;
    }

    /** Takes one repeat; false where the window's are used up. */
    tryTake(): boolean {
        this.advance();
        const sum = (counts: readonly number[]): number => counts.reduce((a, b) => a + b, 0);
        const { ratio, slack, getInstances } = this.opts;
        const allowed = SAFETY * (ratio * sum(this.requests) + slack / Math.max(1, getInstances()));
        if (sum(this.repeats) + 1 > allowed) {
            return false;
        }
        this.repeats[this.bucket % BUCKETS] = (this.repeats[this.bucket % BUCKETS] ?? 0) + 1;
        return true;
    }

    private currentBucket(): number {
        return Math.floor(this.now() / (this.opts.windowMs / BUCKETS));
    }

    private advance(): void {
        const current = this.currentBucket();
        for (let steps = Math.min(BUCKETS, current - this.bucket); steps > 0; steps--) {
            const cleared = (current - steps + 1) % BUCKETS;
            this.requests[cleared] = 0;
            this.repeats[cleared] = 0;
        }
        this.bucket = current;
    }
}
