/** Number of buckets that a window is divided into. */
const BUCKET_COUNT = 20;

/** Counts events in a sliding window. */
export class WindowCount {
    private readonly buckets = new Array<number>(BUCKET_COUNT).fill(0);
    private bucket: number;

    /** `windowMs` is the length of the window in milliseconds, `now` a monotonic clock in milliseconds. */
    constructor(private readonly windowMs: number, private readonly now: () => number) {
        this.bucket = this.currentBucket();
    }

    /** Counts one event now. */
    add(): void {
        this.advance();
        this.buckets[this.bucket % BUCKET_COUNT] = (this.buckets[this.bucket % BUCKET_COUNT] ?? 0) + 1;
    }

    /** Number of events in the window. */
    get total(): number {
        this.advance();
        return this.buckets.reduce((a, b) => a + b, 0);
    }

    private currentBucket(): number {
        return Math.floor(this.now() / (this.windowMs / BUCKET_COUNT));
    }

    private advance(): void {
        const current = this.currentBucket();
        for (let steps = Math.min(BUCKET_COUNT, current - this.bucket); steps > 0; steps--) {
            this.buckets[(current - steps + 1) % BUCKET_COUNT] = 0;
        }
        this.bucket = current;
    }
}
