/** Why the time of a request has ended. */
export type ClockEndReason = "caller_left" | "time_out";

/** Deadline of one request; ends when the time is over or the caller has disconnected. */
export class RequestClock {
    private readonly controller = new AbortController();
    private readonly timer: NodeJS.Timeout;
    private reason: ClockEndReason | undefined;
    private resolveEnded: () => void = () => undefined;
    /** Resolves when the time has ended. */
    readonly ended = new Promise<undefined>(resolve => {
        this.resolveEnded = () => resolve(undefined);
    });
    private readonly onDisconnect = (): void => this.end("caller_left");

    constructor(private readonly endsAtMs: number, private readonly disconnectSignal: AbortSignal) {
        this.timer = setTimeout(() => this.end("time_out"), Math.max(0, endsAtMs - performance.now()));
        if (disconnectSignal.aborted) {
            this.end("caller_left");
        }
        else {
            disconnectSignal.addEventListener("abort", this.onDisconnect, { once: true });
        }
    }

    /** Aborts when the time has ended. */
    get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** Why the time has ended; undefined before that. */
    get endReason(): ClockEndReason | undefined {
        return this.reason;
    }

    /** Remaining time, in milliseconds. */
    get leftMs(): number {
        return Math.max(0, this.endsAtMs - performance.now());
    }

    /** Ends the time now. */
    expire(): void {
        this.end("time_out");
    }

    /** Stops the timer; to be called when the request has ended. */
    stop(): void {
        clearTimeout(this.timer);
        this.disconnectSignal.removeEventListener("abort", this.onDisconnect);
    }

    private end(reason: ClockEndReason): void {
        this.reason ??= reason;
        this.controller.abort();
        this.resolveEnded();
    }
}
