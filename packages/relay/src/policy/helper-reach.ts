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
    /** Since when no connection was opened, as far as one has failed; monotonic, in milliseconds. */
    private failingSinceMs: number | undefined;

    /** Takes note that a connection was opened. */
    recordOpened(): void {
        this.failingSinceMs = undefined;
    }

    /** Takes note that a connection was not opened; returns whether the helper is out of reach. */
    recordFailed({ begunAtMs, failedAtMs, isLate }: FailedConnection): boolean {
        this.failingSinceMs ??= begunAtMs;
        return !isLate || failedAtMs - this.failingSinceMs >= GIVE_UP_AFTER_MS;
    }
}
