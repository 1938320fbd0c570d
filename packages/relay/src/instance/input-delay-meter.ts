import { connect, type Socket } from "node:net";

/** Time between two samples, in milliseconds; equals the shortest latency objective. */
const SAMPLE_INTERVAL_MS = 200;

/**
 * Time after the start in which nothing is reported, in milliseconds: the delay is high while code is being compiled.
 */
const WARM_UP_MS = 5_000;

/**
 * Timeout of a probe, in milliseconds. A single connection may hang while others work; the timeout is then reported as
 * the delay, and the next probe shows whether it persists.
 */
const PROBE_TIMEOUT_MS = 1_000;

/** Not a valid caller request, so that the instance refuses it immediately. */
const PROBE = "GET / HTTP/1.1\r\nHost: self\r\nConnection: close\r\n\r\n";

/** Options of {@link InputDelayMeter}. */
export interface InputDelayMeterOptions {
    /** Host of this process's callers' port, which responds to each request. */
    readonly host: string;
    readonly port: number;
    /** 5,000 by default. */
    readonly warmUpMs?: number;
}

/**
 * Measures how long a new connection waits until this process handles it. One connection is accepted in each turn of
 * the event loop, so under load callers wait there long before timer delays or processor use show it.
 */
export class InputDelayMeter {
    private lastMs = 0;
    private sentAtMs: number | undefined;
    private socket: Socket | undefined;

    constructor(private readonly opts: InputDelayMeterOptions) {}

    /** Delay of the pending or of the last probe, whichever is longer; in milliseconds. */
    get delayMs(): number {
        return this.sentAtMs === undefined ? this.lastMs : Math.max(this.lastMs, performance.now() - this.sentAtMs);
    }

    /** Whether a connection with this remote address and port is the pending probe. */
    isOwn(address: string | undefined, port: number | undefined): boolean {
        return port !== undefined && this.socket?.localPort === port && this.socket.localAddress === address;
    }

    /** Starts measuring and calls `onSample` five times a second; does not keep the process alive. */
    start(onSample: (delayMs: number) => void): void {
        const startedAtMs = performance.now();
        setInterval(() => {
            if (performance.now() - startedAtMs >= (this.opts.warmUpMs ?? WARM_UP_MS)) {
                onSample(this.delayMs);
            }
            if (this.sentAtMs === undefined) {
                this.probe();
            }
        }, SAMPLE_INTERVAL_MS).unref();
    }

    private probe(): void {
        const { host, port } = this.opts;
        const sentAtMs = performance.now();
        this.sentAtMs = sentAtMs;
        const socket = connect({ host, port });
        this.socket = socket;
        const end = (delayMs: number): void => {
            socket.destroy();
            if (this.sentAtMs === sentAtMs) {
                this.lastMs = delayMs;
                this.sentAtMs = undefined;
            }
        };
        socket.once("data", () => end(performance.now() - sentAtMs));
        socket.setTimeout(PROBE_TIMEOUT_MS, () => end(PROBE_TIMEOUT_MS));
        // A closed port accepts no callers; this is not a delay.
        socket.once("error", () => end(0));
        socket.once("close", () => end(0));
        socket.write(PROBE);
    }
}
