import type { TargetNotes } from "@ospreyreel/types";
import type { ResponseHead } from "../caller-exchange.js";
import type { RelayRequest } from "../relay-request.js";
import type { Target } from "./target.js";

export type { NamedLimit, TargetNotes } from "@ospreyreel/types";

/** One send of a request to a target. */
export interface TargetCall {
    readonly req: RelayRequest;
    readonly target: Target;
    readonly team: string | undefined;
    /** Remaining time of the request, in milliseconds. */
    readonly leftMs: number;
    /** 0 is the most urgent; undefined leaves the choice to the target. */
    readonly urgency: number | undefined;
    /** Id of the event after which the stream starts. */
    readonly afterEvent: number | undefined;
    /** Whether the request may be sent again if its connection breaks. */
    readonly isRepeatable: boolean;
    /** Aborts the call and closes its connection. */
    readonly signal: AbortSignal;
    /** Whether the target still accepts requests; checked again once a connection is open. */
    readonly mayStart: () => boolean;
}

/** Outcome of a send. */
export type TargetOutcome =
    /** No connection could be opened, or the target left meanwhile; it has not received the request. */
    | { readonly kind: "not_sent"; readonly cause: string; }
    /** The target reports that it did not run the request. */
    | { readonly kind: "not_run"; readonly reason: "full" | "other_target"; readonly notes?: TargetNotes; }
    /** The request was sent without a usable response; it may have run. */
    | { readonly kind: "failed"; readonly cause: string; }
    /** The target's response; reading the body throws if it is truncated. */
    | {
        readonly kind: "answer";
        readonly head: ResponseHead;
        readonly body: AsyncIterable<Buffer>;
        /** Monotonic time by which its connection was open, in milliseconds; undefined where that is not known. */
        readonly connectedAtMs?: number | undefined;
        readonly notes?: TargetNotes;
    };

/** Sends requests to targets. */
export abstract class TargetPort {
    /** Sends one request and resolves at the head of the response; does not throw. */
    abstract send(call: TargetCall): Promise<TargetOutcome>;

    /** Whether a connection to a target is open and idle. */
    abstract hasIdleConnection(target: Target, isRepeatable: boolean): boolean;

    /** Closes the connections to targets that are not listed, once they are idle. */
    abstract keepOnly(targets: readonly Target[]): void;

    /** Closes all connections. */
    abstract close(): Promise<void>;
}
