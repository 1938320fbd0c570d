/** Limit of requests a second of one start of a target, as known to this instance. */
export class TargetLimit {
    private limitPerS: number | undefined;
    private seenAtMs = Number.NEGATIVE_INFINITY;
    private blockedUntilMs = 0;

    /** Requests a second that the target takes from all instances together; undefined where it names no limit. */
    get perS(): number | undefined {
        return this.limitPerS;
    }

    /** Monotonic time of the response that is known last, in milliseconds. */
    get lastSeenAtMs(): number {
        return this.seenAtMs;
    }

    /** Applies what a response said, unless a later one is known; returns whether the limit has changed. */
    apply(perS: number | undefined, seenAtMs: number): boolean {
        if (seenAtMs < this.seenAtMs) {
            return false;
        }
        const isChanged = perS !== this.limitPerS;
        this.seenAtMs = seenAtMs;
        this.limitPerS = perS;
        if (perS === undefined) {
            this.blockedUntilMs = 0;
        }
        return isChanged;
    }

    /** Keeps requests away from the target until a monotonic time in milliseconds. */
    block(untilMs: number): void {
        this.blockedUntilMs = untilMs;
    }

    /** Time until the target may get a request, in milliseconds; 0 where it may now. */
    getWaitMs(nowMs: number): number {
        return Math.max(0, this.blockedUntilMs - nowMs);
    }
}
