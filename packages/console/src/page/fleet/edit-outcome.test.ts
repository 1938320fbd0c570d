import test from "ava";
import { toEditOutcome } from "./edit-outcome.js";
import type { CallResult } from "./operator-calls.js";

const createRefusal = (name: string): CallResult<never> => ({
    kind: "refused",
    refusal: { status: 500, name, message: "", details: [] },
});

test("an outcome is unknown unless the result settles the edit", t => {
    const cases = [
        ["document_conflict", "conflict", "conflict"],
        ["invalid_document", "refused", "refused"],
        ["key_reused", "refused", "refused"],
        ["document_unavailable", "refused", "unknown"],
        ["unauthorized", "refused", "unknown"],
        ["document_outcome_unknown", "unknown", "unknown"],
        ["internal", "unknown", "unknown"],
        ["", "unknown", "unknown"],
    ] as const;
    for (const [name, first, repeated] of cases) {
        t.is(toEditOutcome(createRefusal(name), false).kind, first, name);
        t.is(toEditOutcome(createRefusal(name), true).kind, repeated, name);
    }
    t.is(toEditOutcome({ kind: "lost", message: "" }, false).kind, "unknown");
});
