import type { ServerResponse } from "node:http";

/** Options of {@link StalledResponses}. */
export interface StalledResponsesOptions {
    /** Longest time in which a caller reads nothing of what was written, in milliseconds. */
    readonly stallTimeoutMs: number;
    /** Called when a connection is closed for that reason. */
    readonly onStall: () => void;
    /** Monotonic clock, in milliseconds. */
    readonly now?: () => number;
}

interface ResponseProgress {
    pending: number;
    sinceMs: number;
}

/** Closes connections of callers that do not read, so that their responses free memory and do not delay a stop. */
export class StalledResponses {
    private readonly watched = new Map<ServerResponse, ResponseProgress>();
    private readonly timer: NodeJS.Timeout;
    private readonly now: () => number;

    constructor(private readonly opts: StalledResponsesOptions) {
        this.now = opts.now ?? (() => performance.now());
        const checks = 4;
        this.timer = setInterval(() => this.check(), Math.max(1, opts.stallTimeoutMs / checks));
        this.timer.unref();
    }

    /** Monitors a response until it is closed. */
    add(res: ServerResponse): void {
        this.watched.set(res, { pending: 0, sinceMs: this.now() });
        res.once("close", () => this.watched.delete(res));
    }

    /** Compares the unread bytes of each connection with those at the last check. */
    check(): void {
        const now = this.now();
        for (const [res, watched] of this.watched) {
            const pending = res.socket?.writableLength ?? 0;
            if (pending === 0 || pending !== watched.pending) {
                watched.pending = pending;
                watched.sinceMs = now;
            }
            else if (now - watched.sinceMs >= this.opts.stallTimeoutMs) {
                this.watched.delete(res);
                this.opts.onStall();
                // Destroys the connection: responses queued behind this one cannot be read either.
                res.socket?.destroy();
            }
        }
    }

    /** Stops the checks. */
    close(): void {
        clearInterval(this.timer);
    }
}
