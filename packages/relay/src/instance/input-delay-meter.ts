import { connect } from "node:net";

/** Time between two looks, in milliseconds; the shortest objective of the users' requests. */
const LOOK_EVERY_MS = 200;

/** Time after the start in which nothing is told, in milliseconds: code is compiled then, which ends by itself. */
const WARM_UP_MS = 5_000;

/**
 * Time after which a probe is given up, in milliseconds. A connection may fall silent for good while others work; a wait
 * as long as this is told as such, and the next probe tells whether it lasts.
 */
const PROBE_TIMEOUT_MS = 1_000;

/** Names no request, so that the instance refuses it as it stands. */
const PROBE = "GET / HTTP/1.1\r\nHost: self\r\nConnection: close\r\n\r\n";

/** What a meter connects to. */
export interface InputDelayMeterOptions {
    /** The callers' port of this very process, which answers each request. */
    readonly host: string;
    readonly port: number;
    /** 5,000 by default. */
    readonly warmUpMs?: number;
}

/**
 * How long a caller's new connection waits until this process takes it. One connection is accepted in each turn of the
 * event loop, so that under load callers wait there long before timers are late or the processor's share tells.
 */
export class InputDelayMeter {
    private lastMs = 0;
    private sentAtMs: number | undefined;

    constructor(private readonly opts: InputDelayMeterOptions) {}

    /** Wait of the connection that is on its way, or of the last one; in milliseconds. */
    get delayMs(): number {
        return this.sentAtMs === undefined ? this.lastMs : Math.max(this.lastMs, performance.now() - this.sentAtMs);
    }

    /** Starts to measure and calls `onLook` five times a second; does not keep the process alive. */
    start(onLook: (delayMs: number) => void): void {
        const startedAtMs = performance.now();
        setInterval(() => {
            if (performance.now() - startedAtMs >= (this.opts.warmUpMs ?? WARM_UP_MS)) {
                onLook(this.delayMs);
            }
            if (this.sentAtMs === undefined) {
                this.probe();
            }
        }, LOOK_EVERY_MS).unref();
    }

    private probe(): void {
        const { host, port } = this.opts;
        const sentAtMs = performance.now();
        this.sentAtMs = sentAtMs;
        const socket = connect({ host, port });
        const end = (delayMs: number): void => {
            socket.destroy();
            if (this.sentAtMs === sentAtMs) {
                this.lastMs = delayMs;
                this.sentAtMs = undefined;
            }
        };
        socket.once("data", () => end(performance.now() - sentAtMs));
        socket.setTimeout(PROBE_TIMEOUT_MS, () => end(PROBE_TIMEOUT_MS));
        // A port that is closed takes no callers; that is no delay.
        socket.once("error", () => end(0));
        socket.once("close", () => end(0));
        socket.write(PROBE);
    }
}
