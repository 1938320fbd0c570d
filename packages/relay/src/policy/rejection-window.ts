/** First time for which a target that rejected a request as full is left alone, in milliseconds; doubles with each further rejection. */
const FIRST_PAUSE_MS = 40;

/** Longest such time, in milliseconds. */
const MAX_PAUSE_MS = 640;

/** Time after which a rejection no longer counts, in milliseconds. */
const FORGET_MS = 2_000;

/**
 * Estimates the room of one target from its rejections of this instance's requests, for targets whose load is not known. A window of requests in
 * flight shrinks with each rejection and grows with each accepted request; without rejections there is none.
 */
export class RejectionWindow {
    private rejections = 0;
    private size = Number.POSITIVE_INFINITY;
    private closedUntilMs = Number.NEGATIVE_INFINITY;
    private rejectedAtMs = Number.NEGATIVE_INFINITY;

    /** Records that the target rejected a request as full; `inFlight` includes it, `random` is in [0, 1). */
    recordRejected(nowMs: number, inFlight: number, random: number): void {
        if (nowMs - this.rejectedAtMs > FORGET_MS) {
            this.rejections = 0;
            this.size = Number.POSITIVE_INFINITY;
        }
        this.size = Math.max(1, Math.min(this.size, inFlight - 1));
        // Half to one and a half times the pause, so that the instances do not all try at once.
        const pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** this.rejections) * (random + 1 / 2);
        this.rejections += 1;
        this.rejectedAtMs = nowMs;
        this.closedUntilMs = Math.max(this.closedUntilMs, nowMs + pauseMs);
    }

    /** Records that the target accepted a request that was sent at a monotonic time. */
    recordAccepted(sentAtMs: number): void {
        if (sentAtMs >= this.rejectedAtMs) {
            this.rejections = 0;
            this.size += 1;
        }
    }

    /** Further requests that this instance may send, 0 or more. */
    getFree(nowMs: number, inFlight: number, slots: number): number {
        if (nowMs < this.closedUntilMs) {
            return 0;
        }
        const size = nowMs - this.rejectedAtMs > FORGET_MS ? slots : Math.min(slots, this.size);
        return Math.max(0, size - inFlight);
    }
}
