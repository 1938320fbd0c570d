const SMOOTHING = 0.1;

/** Measures the rate of service by the mean time of a request and the number in flight (Little's law). */
export class ServiceRateMeter {
    private inFlight = 0;
    private meanMs: number | undefined;

    /** Records that a request was sent to a target. */
    recordStart(): void {
        this.inFlight += 1;
    }

    /** Records that a request ended after `durationMs` milliseconds. */
    recordEnd(durationMs: number): void {
        this.inFlight -= 1;
        this.meanMs = this.meanMs === undefined ? durationMs : this.meanMs + SMOOTHING * (durationMs - this.meanMs);
    }

    /** Requests per second at the current concurrency; `undefined` before the first one has ended. */
    get servedPerS(): number | undefined {
        return this.meanMs === undefined || this.inFlight === 0
            ? undefined
            : this.inFlight / Math.max(this.meanMs, 1) * 1000;
    }
}
