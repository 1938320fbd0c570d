import type { RelayRefusal } from "./relay-refusal.js";

/** Status and headers of a target's response; each header is a name and a value. */
export interface ResponseHead {
    readonly status: number;
    readonly headers: readonly (readonly [string, string])[];
    /**
     * Whether the response is framed by a length or by chunks. One that ends with its connection may be truncated
     * unnoticed, so it is never relayed with a length.
     */
    readonly isFramed: boolean;
}

/** One caller that waits for the response to its request. */
export abstract class CallerExchange {
    /** Aborts when the caller has disconnected. */
    abstract readonly disconnectSignal: AbortSignal;

    /** Sends a complete response of a target; resolves when the response is no longer held in memory. */
    abstract sendResponse(head: ResponseHead, body: Buffer): Promise<void>;

    /** Starts a stream with a target's response head. */
    abstract startStream(head: ResponseHead): void;

    /** Sends complete events of the stream; resolves when the caller can take more, has disconnected, or `signal` aborts. */
    abstract sendEvents(events: Buffer, signal: AbortSignal): Promise<void>;

    /** Ends the stream as complete. */
    abstract endStream(): void;

    /** Aborts the stream, so that the caller cannot take it for complete. */
    abstract abortStream(): void;

    /** Responds that this instance does not serve the request. */
    abstract refuse(refusal: RelayRefusal): void;
}
