import test from "ava";
import { createDocument } from "../fixtures/documents.js";
import type { Rule } from "./document.js";
import { findRule, pickOffering } from "./queries.js";

const CALLERS = Array.from({ length: 2000 }, (_value, index) => `caller-${index}`);

const createRule = (shares: Readonly<Record<string, number>>): Rule => ({
    name: "trial",
    teams: ["*"],
    asks: "reader",
    routes: Object.entries(shares).map(([offering, share]) => ({ offering, share })),
});

test("the first rule that matches the team applies", t => {
    const [all] = createDocument().rules;
    const rules: readonly Rule[] = [
        { ...createRule({ own: 1 }), name: "own", teams: ["beta"] },
        ...(all === undefined ? [] : [all]),
    ];
    const document = createDocument({ rules });
    t.is(findRule(document, "beta", "reader")?.name, "own");
    t.is(findRule(document, "alpha", "reader")?.name, "all-drafts");
    t.is(findRule(document, "alpha", "unknown"), undefined);
});

test("callers are distributed in proportion to the shares, and a share of 0 gets none", t => {
    const rule = createRule({ old: 3, new: 1, off: 0 });
    const counts = new Map<string, number>();
    for (const caller of CALLERS) {
        const offering = pickOffering(rule, caller) ?? "none";
        counts.set(offering, (counts.get(offering) ?? 0) + 1);
    }
    t.deepEqual([...counts.keys()].sort(), ["new", "old"]);
    // The hash is deterministic, so the count is the same in every run.
    t.true(Math.abs((counts.get("new") ?? 0) - 500) < 60, `${counts.get("new") ?? 0} of 500`);
});

test("when one share grows, callers move only to its route", t => {
    const before = createRule({ a: 5, b: 3, c: 1 });
    const after = createRule({ c: 3, a: 5, b: 3 });
    const moved = CALLERS.filter(caller => pickOffering(before, caller) !== pickOffering(after, caller));
    t.true(moved.length > 0);
    t.deepEqual([...new Set(moved.map(caller => pickOffering(after, caller)))], ["c"]);
});
