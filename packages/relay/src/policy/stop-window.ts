/** Options of {@link StopWindow.open}. */
export interface StopOptions {
    /** Monotonic time of the stop's start, in milliseconds. */
    readonly startedAtMs: number;
    /** Time from the start until the requests that still run are ended, in milliseconds. */
    readonly lengthMs: number;
    /** Time for which callers may still use this instance's address, in milliseconds. */
    readonly addressLifetimeMs: number;
}

/** Options of {@link StopWindow}; monotonic times in milliseconds. */
export interface StopWindowOptions {
    /** Until when every request is accepted. */
    readonly servesUntilMs: number;
    /** When the requests that still run are ended. */
    readonly endsAtMs: number;
}

/** Share of the stop in which every request is accepted at most; the rest is left for those requests to end. */
const MAX_SERVING_SHARE = 0.4;

/**
 * Decides which requests a stopping instance accepts, so that those that it accepts can end. Callers that do not know of
 * the stop yet are served; later on, only requests whose deadline is before the end of the stop are accepted.
 */
export class StopWindow {
    /** Monotonic time until which every request is accepted, in milliseconds. */
    readonly servesUntilMs: number;
    /** Monotonic time at which the requests that still run are ended, in milliseconds. */
    readonly endsAtMs: number;
    private isClosed = false;

    constructor({ servesUntilMs, endsAtMs }: StopWindowOptions) {
        this.servesUntilMs = servesUntilMs;
        this.endsAtMs = endsAtMs;
    }

    /** Opens the window of a stop of this instance. */
    static open({ startedAtMs, lengthMs, addressLifetimeMs }: StopOptions): StopWindow {
        return new StopWindow({
            servesUntilMs: startedAtMs + Math.min(addressLifetimeMs, MAX_SERVING_SHARE * lengthMs),
            endsAtMs: startedAtMs + lengthMs,
        });
    }

    /** Whether a request that has to end by `deadlineMs` is accepted. Both are monotonic times in milliseconds. */
    isAccepting(nowMs: number, deadlineMs: number): boolean {
        return !this.isClosed && (nowMs < this.servesUntilMs || deadlineMs <= this.endsAtMs);
    }

    /**
     * Whether a request is accepted of a caller that another instance told its address, and that learns nothing of this stop: one that
     * has to end by `deadlineMs`, a monotonic time in milliseconds.
     */
    isAcceptingForPeer(deadlineMs: number): boolean {
        return !this.isClosed && deadlineMs <= this.endsAtMs;
    }

    /** Accepts nothing any more. */
    close(): void {
        this.isClosed = true;
    }
}
