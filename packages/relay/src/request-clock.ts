/** How a request's time ends. */
export type EndOfTime = "caller_left" | "time_out";

/** Time of one request: ends when it has run out or the caller has left. */
export class RequestClock {
    private readonly controller = new AbortController();
    private readonly timer: NodeJS.Timeout;
    private reason: EndOfTime | undefined;
    private readonly leave = (): void => this.end("caller_left");

    constructor(private readonly endsAtMs: number, private readonly gone: AbortSignal) {
        this.timer = setTimeout(() => this.end("time_out"), Math.max(0, endsAtMs - performance.now()));
        if (gone.aborted) {
            this.end("caller_left");
        }
        else {
            gone.addEventListener("abort", this.leave, { once: true });
        }
    }

    /** Fires when the time has ended. */
    get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** Why the time has ended; undefined while it runs. */
    get ended(): EndOfTime | undefined {
        return this.reason;
    }

    /** Time left, in milliseconds. */
    get leftMs(): number {
        return Math.max(0, this.endsAtMs - performance.now());
    }

    /** Stops the timer; the request is over. */
    stop(): void {
        clearTimeout(this.timer);
        this.gone.removeEventListener("abort", this.leave);
    }

    private end(reason: EndOfTime): void {
        this.reason ??= reason;
        this.controller.abort();
    }
}
