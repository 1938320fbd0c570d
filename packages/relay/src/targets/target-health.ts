/** Failures in a row after which a target gets no requests for a while. */
const FAILURES_TO_EJECT = 3;

/** First time without requests, in milliseconds; doubles with each failure after it. */
const FIRST_EJECTION_MS = 500;

/** Longest time without requests, in milliseconds. */
const LONGEST_EJECTION_MS = 4_000;

/** Weight of the newest answer in the mean shares and times. */
const NEWEST_WEIGHT = 0.1;

/** What the answers of one target say of its state. */
export class TargetHealth {
    private failuresInRow = 0;
    private ejectedUntilMs = 0;
    private meanErrorShare = 0;
    private meanFirstByteMs: number | undefined;
    private fullUntilMs = 0;

    /** Share of recent answers that were errors, 0 to 1. */
    get errorShare(): number {
        return this.meanErrorShare;
    }

    /** Mean time to the first byte, in milliseconds; undefined before the first answer. */
    get firstByteMs(): number | undefined {
        return this.meanFirstByteMs;
    }

    /** Whether it may get requests. */
    isUsable(nowMs: number): boolean {
        return nowMs >= this.ejectedUntilMs;
    }

    /** Whether it said recently that it has no room. */
    isFull(nowMs: number): boolean {
        return nowMs < this.fullUntilMs;
    }

    /** Notes an answer and whether it was an error of the target. */
    noteAnswer(isError: boolean, firstByteMs: number): void {
        this.failuresInRow = 0;
        this.ejectedUntilMs = 0;
        this.meanErrorShare += NEWEST_WEIGHT * ((isError ? 1 : 0) - this.meanErrorShare);
        const before = this.meanFirstByteMs ?? firstByteMs;
        this.meanFirstByteMs = before + NEWEST_WEIGHT * (firstByteMs - before);
    }

    /** Notes a send without a usable answer. */
    noteFailure(nowMs: number): void {
        this.failuresInRow += 1;
        this.meanErrorShare += NEWEST_WEIGHT * (1 - this.meanErrorShare);
        if (this.failuresInRow >= FAILURES_TO_EJECT) {
            const doublings = this.failuresInRow - FAILURES_TO_EJECT;
            this.ejectedUntilMs = nowMs + Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2 ** doublings);
        }
    }

    /** Notes that no connection came about: nobody listens there, or nobody answers. */
    noteUnreachable(nowMs: number): void {
        this.failuresInRow = Math.max(this.failuresInRow, FAILURES_TO_EJECT - 1);
        this.noteFailure(nowMs);
    }

    /** Notes that it had no room. */
    noteFull(nowMs: number, forMs: number): void {
        this.fullUntilMs = nowMs + forMs;
    }
}
