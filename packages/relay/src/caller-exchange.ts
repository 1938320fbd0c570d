import type { RelayRefusal } from "./relay-refusal.js";

/** Status and headers of a target's answer, as name and value. */
export interface AnswerHead {
    readonly status: number;
    readonly headers: readonly (readonly [string, string])[];
    /**
     * Whether the answer itself tells where it ends. One that ends with its connection may be cut without a sign, so it
     * is passed on in the same way and never with a length.
     */
    readonly isFramed: boolean;
}

/** One caller that waits for the answer to its request. */
export abstract class CallerExchange {
    /** Fires when the caller has left. */
    abstract readonly gone: AbortSignal;

    /** Sends a whole answer of a target. */
    abstract sendWhole(head: AnswerHead, body: Buffer): void;

    /** Begins a stream with a target's head. */
    abstract startStream(head: AnswerHead): void;

    /** Sends whole events of the stream. */
    abstract sendEvents(events: Buffer): void;

    /** Ends the stream as complete. */
    abstract endStream(): void;

    /** Breaks the stream off, so that it cannot look complete. */
    abstract breakStream(): void;

    /** Answers that the instance itself does not serve the request. */
    abstract refuse(refusal: RelayRefusal): void;
}
