import type { TargetCall } from "../targets/target-port.js";

/** What the head of a target's answer says. */
export type TargetHead =
    /** Its headers without those that concern the connection. */
    | { readonly kind: "answer"; readonly headers: readonly (readonly [string, string])[]; }
    | { readonly kind: "not_run"; readonly reason: "full" | "other_target"; }
    /** It is not the answer to this request, or no answer in the protocol. */
    | { readonly kind: "invalid"; readonly cause: string; };

/** How requests to targets and their answers are written. */
export abstract class TargetProtocol {
    /** Headers of one send. */
    abstract encode(call: TargetCall): readonly (readonly [string, string])[];

    /** Reads the head of an answer. */
    abstract decode(
        call: TargetCall,
        status: number,
        headers: readonly (readonly [string, string])[],
    ): TargetHead;
}
