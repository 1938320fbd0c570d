/**
 * Age of a start from which its entry is taken to tell whether it is cold, in milliseconds. A first entry may be written before the target
 * knows, and targets write their entries again each second or two.
 */
export const ENTRY_LAG_MS = 3_000;

/** A change of the end of a cold time that is told to others, in milliseconds; smaller ones are the times of messages. */
const MIN_EXTENSION_MS = 1_000;

/** How long one start of a target is cold, as known to this instance; all times are monotonic, in milliseconds. */
export class TargetCold {
    private startedAtMs: number | undefined;
    private entryUntilMs = Number.NEGATIVE_INFINITY;
    private toldUntilMs = Number.NEGATIVE_INFINITY;

    /** Records the announcement of the start and its age; undefined where it tells no start time. */
    recordEntry(nowMs: number, remainingMs: number | undefined, ageMs: number | undefined): void {
        if (remainingMs !== undefined) {
            this.entryUntilMs = nowMs + remainingMs;
        }
        const tellsAll = remainingMs !== undefined && (ageMs ?? Number.POSITIVE_INFINITY) > ENTRY_LAG_MS;
        this.startedAtMs = tellsAll || ageMs === undefined ? undefined : nowMs - ageMs;
    }

    /** Records until when it is cold by a response of it or by a peer; returns whether that is clearly longer than known. */
    recordTold(untilMs: number): boolean {
        const isExtended = untilMs > Math.max(this.toldUntilMs, this.entryUntilMs) + MIN_EXTENSION_MS;
        this.toldUntilMs = Math.max(this.toldUntilMs, untilMs);
        return isExtended;
    }

    /** Time for which it is still cold by what it says itself; 0 where it does not say so. */
    getToldLeftMs(nowMs: number): number {
        return Math.max(0, this.entryUntilMs - nowMs, this.toldUntilMs - nowMs);
    }

    /** Time for which it is still cold, if a start is cold for `coldStartMs`; 0 where it is not. */
    getLeftMs(nowMs: number, coldStartMs: number): number {
        const startUntilMs = this.startedAtMs === undefined ? 0 : this.startedAtMs + coldStartMs;
        return Math.max(startUntilMs - nowMs, this.getToldLeftMs(nowMs));
    }
}
