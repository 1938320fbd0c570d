import type { RelayRefusal } from "../relay-refusal.js";
import type { RelayRequest } from "../relay-request.js";

/** The head of a request as it arrived. */
export interface RequestHead {
    readonly method: string;
    /** Path with the query. */
    readonly target: string;
    /** Alternating names and values, as received. */
    readonly rawHeaders: readonly string[];
    /** Monotonic time of the arrival, in milliseconds. */
    readonly arrivedAtMs: number;
}

/** A request without its body. */
export type DecodedHead = Omit<RelayRequest, "body">;

/** Format of callers' requests and of refusals. */
export abstract class CallerProtocol {
    /** Decodes a head; undefined where it is not a valid request. */
    abstract decode(head: RequestHead): DecodedHead | undefined;

    /** Headers of a refusal, as alternating names and values. */
    abstract encodeRefusal(refusal: RelayRefusal): readonly string[];
}
