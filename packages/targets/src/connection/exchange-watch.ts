import type { TargetConnection } from "./target-connection.js";

/** Maximum size of the head of a response and of the framing of its first chunks, in bytes. */
const MAX_FRAMING_BYTES = 65_536;

/** Maximum number of received bytes for one byte of the body; a chunk of one byte takes six. */
const MAX_FRAMING_RATIO = 16;

/** Watches one exchange on its connection for what the HTTP client does not report. */
export class ExchangeWatch {
    private connection: TargetConnection | undefined;
    private isStarted = false;
    /** Bytes of the connection before this exchange. */
    private startedAtBytes = 0;
    private bodyBytes = 0;

    /**
     * `onExcess` is called when far more was received than the body, since the HTTP client accepts some parts without end. `resume` is called
     * when the connection ends, since the HTTP client fails with an uncaught error where it ends while the response is paused.
     */
    constructor(private readonly onExcess: (err: Error) => void, private readonly resume: () => void) {}

    /** Sets the connection on which the exchange will run. */
    setConnection(connection: TargetConnection): void {
        this.connection = connection;
    }

    /** Starts to count; to be called before the request is written. */
    start(): void {
        this.isStarted = true;
        this.startedAtBytes = this.connection?.parsedBytes ?? 0;
        this.connection?.watch(() => this.check(), this.resume);
    }

    /** Monotonic time at which the exchange's connection was open, in milliseconds; undefined before that. */
    get connectedAtMs(): number | undefined {
        return this.connection?.connectedAtMs;
    }

    /** Adds bytes of the body. */
    addBody(bytes: number): void {
        this.bodyBytes += bytes;
    }

    /** Stops; to be called when the exchange has ended. */
    stop(): void {
        if (this.isStarted) {
            this.connection?.watch(undefined);
        }
    }

    /** Whether the connection was reset, so that a response without framing is truncated. */
    get wasReset(): boolean {
        return this.connection?.wasReset === true;
    }

    private check(): void {
        const received = (this.connection?.parsedBytes ?? 0) - this.startedAtBytes;
        if (received > MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * this.bodyBytes) {
            this.onExcess(new Error("the response has too much framing"));
        }
    }
}
