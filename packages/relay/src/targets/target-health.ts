/** Consecutive failures after which a target is ejected: it gets no requests for a time. */
const FAILURES_TO_EJECT = 3;

/** Duration of the first ejection, in milliseconds; doubles with each further failure. */
const FIRST_EJECTION_MS = 500;

/** Maximum duration of an ejection, in milliseconds. */
const MAX_EJECTION_MS = 4_000;

/** Time for which one request tries an ejected target, in milliseconds; longer than a connection attempt. */
const TRIAL_MS = 500;

/** Weight of the newest sample in the moving averages. */
const NEWEST_WEIGHT = 0.1;

/** Health of one target, derived from the outcomes of its requests. */
export class TargetHealth {
    private consecutiveFailures = 0;
    private ejectedUntilMs = 0;
    private meanErrorShare = 0;
    private meanFirstByteMs: number | undefined;
    private fullUntilMs = 0;
    private pathChangedAtMs = Number.NEGATIVE_INFINITY;

    /** Share of recent requests that failed, 0 to 1. */
    get errorShare(): number {
        return this.meanErrorShare;
    }

    /** Mean time to the first byte, in milliseconds; undefined before the first response. */
    get firstByteMs(): number | undefined {
        return this.meanFirstByteMs;
    }

    /** Whether the target may get requests. */
    isUsable(nowMs: number): boolean {
        return nowMs >= this.ejectedUntilMs;
    }

    /** Whether the target was ejected and has not responded since. */
    get isOnTrial(): boolean {
        return this.consecutiveFailures >= FAILURES_TO_EJECT;
    }

    /** Keeps other requests away while one finds out whether an ejected target responds again. */
    beginTrial(nowMs: number): void {
        this.ejectedUntilMs = Math.max(this.ejectedUntilMs, nowMs + TRIAL_MS);
    }

    /** Whether the target reported recently that it is full. */
    isFull(nowMs: number): boolean {
        return nowMs < this.fullUntilMs;
    }

    /** Records a response and whether it was an error of the target. */
    recordResponse(isError: boolean, firstByteMs: number): void {
        this.consecutiveFailures = 0;
        this.ejectedUntilMs = 0;
        this.meanErrorShare += NEWEST_WEIGHT * ((isError ? 1 : 0) - this.meanErrorShare);
        const previousMs = this.meanFirstByteMs ?? firstByteMs;
        this.meanFirstByteMs = previousMs + NEWEST_WEIGHT * (firstByteMs - previousMs);
    }

    /**
     * Records a send that was cancelled before its response, after a time in milliseconds. It is no failure of the target; the time counts
     * only where it is longer than the usual one.
     */
    recordUnanswered(afterMs: number): void {
        const meanMs = this.meanFirstByteMs ?? afterMs;
        this.meanFirstByteMs = meanMs + NEWEST_WEIGHT * Math.max(0, afterMs - meanMs);
    }

    /** Records a send without a usable response; monotonic times of its failure and its start, in milliseconds. */
    recordFailure(nowMs: number, sentAtMs: number): void {
        if (sentAtMs < this.pathChangedAtMs) {
            return;
        }
        this.consecutiveFailures += 1;
        this.meanErrorShare += NEWEST_WEIGHT * (1 - this.meanErrorShare);
        if (this.consecutiveFailures >= FAILURES_TO_EJECT) {
            const doublings = this.consecutiveFailures - FAILURES_TO_EJECT;
            this.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** doublings);
        }
    }

    /** Records that a connection was refused or timed out. */
    recordUnreachable(nowMs: number, sentAtMs: number): void {
        if (sentAtMs >= this.pathChangedAtMs) {
            this.consecutiveFailures = Math.max(this.consecutiveFailures, FAILURES_TO_EJECT - 1);
            this.recordFailure(nowMs, sentAtMs);
        }
    }

    /** Records that the target is reached in another way; failures of earlier sends say nothing about it any more. */
    recordPathChange(nowMs: number): void {
        this.pathChangedAtMs = nowMs;
        this.consecutiveFailures = 0;
        this.ejectedUntilMs = 0;
    }

    /** Records that the target rejected a request; so it responds. */
    recordRejection(): void {
        this.consecutiveFailures = 0;
        this.ejectedUntilMs = 0;
    }

    /** Records that the target reported to be full. */
    recordFull(nowMs: number, forMs: number): void {
        this.fullUntilMs = nowMs + forMs;
    }
}
