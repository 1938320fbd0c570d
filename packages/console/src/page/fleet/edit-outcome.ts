import type { AppliedResponse, CallResult, Refusal } from "./operator-calls.js";

/** Outcome of an edit according to the response. */
export type EditOutcome =
    | { readonly kind: "accepted"; readonly revision: number; readonly alreadyApplied: boolean; }
    | { readonly kind: "conflict"; readonly refusal: Refusal; }
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    | { readonly kind: "unknown"; readonly message: string; };

/** Results that mean the edit was not accepted and never will be. */
const FINAL_REFUSALS: ReadonlySet<string> = new Set(["invalid_document", "key_reused"]);

/** Results that mean this call had no effect; an earlier call with the same edit id may still take effect. */
const NO_EFFECT_REFUSALS: ReadonlySet<string> = new Set([
    "document_unavailable",
    "unauthorized",
    "bad_request",
    "too_large",
]);

/** Derives the outcome of an edit; `repeat` means that an earlier call with the same edit id may have taken effect. */
export const toEditOutcome = (result: CallResult<AppliedResponse>, repeat: boolean): EditOutcome => {
    switch (result.kind) {
        case "ok":
            return { kind: "accepted", ...result.body };
        case "lost":
            return { kind: "unknown", message: `no answer was read: ${result.message}` };
        case "refused": {
            const { refusal } = result;
            if (refusal.name === "document_conflict") {
                return { kind: "conflict", refusal };
            }
            if (FINAL_REFUSALS.has(refusal.name) || (!repeat && NO_EFFECT_REFUSALS.has(refusal.name))) {
                return { kind: "refused", refusal };
            }
            return { kind: "unknown", message: refusal.message };
        }
    }
};
