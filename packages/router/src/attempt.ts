import type { SharedResponse } from "@ospreyreel/claims";
import type { AcknowledgedIntent } from "@ospreyreel/ledger";
import type { RequestContext } from "./request-context.js";
import type { TargetSlot } from "./target-gate.js";

/** One dispatch of a request to one target. */
export interface Attempt {
    readonly ctx: RequestContext;
    readonly slot: TargetSlot;
    readonly acknowledged: AcknowledgedIntent;
    readonly streamId: string;
    readonly answer: SharedResponse;
}

/** Outcome of an attempt. */
export type AttemptResult =
    | { readonly kind: "done"; }
    /** Nothing reached the target. */
    | { readonly kind: "not_run"; readonly cause: unknown; }
    /** It may have run; `started` is whether the caller has received part of the response. */
    | { readonly kind: "unknown"; readonly started: boolean; readonly cause: unknown; };
