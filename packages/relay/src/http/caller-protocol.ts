import type { RelayRefusal } from "../relay-refusal.js";
import type { RelayRequest } from "../relay-request.js";

/** The head of a request as it arrived. */
export interface ArrivedHead {
    readonly method: string;
    /** Path with the query. */
    readonly target: string;
    /** Names and values in turn, as they came. */
    readonly rawHeaders: readonly string[];
    /** Monotonic time of the arrival, in milliseconds. */
    readonly arrivedAtMs: number;
}

/** A request without its body. */
export type DecodedHead = Omit<RelayRequest, "body">;

/** How callers write requests and read refusals. */
export abstract class CallerProtocol {
    /** Reads a head; undefined where it names no request that could be passed on. */
    abstract decode(head: ArrivedHead): DecodedHead | undefined;

    /** Headers of a refusal, as names and values in turn. */
    abstract encodeRefusal(refusal: RelayRefusal): readonly string[];
}
