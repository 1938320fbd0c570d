import type { AnswerHead } from "../caller-exchange.js";
import type { RelayRequest } from "../relay-request.js";
import type { Target } from "./target.js";

/** One send of a request to a target. */
export interface TargetCall {
    readonly req: RelayRequest;
    readonly target: Target;
    readonly team: string | undefined;
    /** Time left for the request, in milliseconds. */
    readonly leftMs: number;
    /** 0 is the most urgent; undefined leaves it to the target. */
    readonly urgency: number | undefined;
    /** Event after which the stream is to begin. */
    readonly afterEvent: number | undefined;
    /** Whether the request may be sent again where its connection breaks. */
    readonly isRepeatable: boolean;
    /** Ends the call and its connection. */
    readonly signal: AbortSignal;
}

/** What became of a send. */
export type TargetOutcome =
    /** No connection came about; the target has not seen the request. */
    | { readonly kind: "not_sent"; readonly cause: string; }
    /** The target says that it did not run the request. */
    | { readonly kind: "not_run"; readonly reason: "full" | "other_target"; }
    /** The request was sent and no usable answer came; it may have run. */
    | { readonly kind: "failed"; readonly cause: string; }
    /** The target's own answer; the body throws where it is cut off. */
    | { readonly kind: "answer"; readonly head: AnswerHead; readonly body: AsyncIterable<Buffer>; };

/** Sends requests to targets. */
export abstract class TargetPort {
    /** Sends one request and resolves at the head of the answer; does not throw. */
    abstract send(call: TargetCall): Promise<TargetOutcome>;

    /** Closes the idle connections to targets that are no longer listed. */
    abstract keepOnly(targets: readonly Target[]): void;

    /** Closes all connections. */
    abstract close(): Promise<void>;
}
