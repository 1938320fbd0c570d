/** A connection to a helper that was not opened. */
export interface FailedConnection {
    /** Monotonic time at which it was begun, in milliseconds. */
    readonly begunAtMs: number;
    /** Monotonic time at which it failed, in milliseconds. */
    readonly failedAtMs: number;
    /** Whether it was only late; otherwise the helper or its machine has rejected it. */
    readonly isLate: boolean;
}

/** Time without an opened connection after which a helper is given up, in milliseconds; callers wait no longer than that to be read. */
const GIVE_UP_AFTER_MS = 1_000;

/**
 * Decides when a helper counts as out of reach. Answers the load of one team at a small instance whose own link or processor is full: single connections to the helper
 * are late there while others arrive, and to serve all callers here again would take more of what is short.
 */
export class HelperReach {
    /** Begin and last end of the failures without an opened connection between them; monotonic, in milliseconds. */
    private failing: { readonly sinceMs: number; readonly lastAtMs: number; } | undefined;

    /** Takes note that a connection was opened, or that the helper has agreed to serve again. */
    recordReached(): void {
        this.failing = undefined;
    }

    /** Takes note that a connection was not opened; returns whether the helper is out of reach. */
    recordFailed({ begunAtMs, failedAtMs, isLate }: FailedConnection): boolean {
        const { failing } = this;
        // A single failure says nothing of one that follows after a time without attempts.
        const isFurther = failing !== undefined && begunAtMs - failing.lastAtMs < GIVE_UP_AFTER_MS;
        const sinceMs = isFurther ? failing.sinceMs : begunAtMs;
        this.failing = { sinceMs, lastAtMs: failedAtMs };
        return !isLate || failedAtMs - sinceMs >= GIVE_UP_AFTER_MS;
    }
}
