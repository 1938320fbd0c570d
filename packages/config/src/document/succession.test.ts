import test from "ava";
import { createBudget, createDocument, createToppedUpText } from "../fixtures/documents.js";
import { formatPath } from "../json/fault.js";
import { getDocumentDiff } from "./document-diff.js";
import { parseDocument } from "./parse-document.js";
import { getPrepaidTokens } from "./queries.js";
import { checkSuccession } from "./succession.js";

const getLines = (...args: Parameters<typeof getDocumentDiff>): readonly string[] =>
    getDocumentDiff(...args).map(change => change.line);

test("adding top-ups and closing budgets are accepted, and the prepaid total only grows", t => {
    const base = createDocument();
    const next = parseDocument(createToppedUpText(2));
    t.deepEqual(checkSuccession(base, next), []);
    t.deepEqual(next.budgets.map(getPrepaidTokens), [1200, 1000]);
    const closed = { ...base, budgets: base.budgets.map(budget => ({ ...budget, closed: true })) };
    t.deepEqual(checkSuccession(base, closed), []);
    t.deepEqual(checkSuccession(undefined, base), []);
});

test("changing or removing accepted top-ups or budgets is rejected", t => {
    const base = parseDocument(createToppedUpText(1));
    const topUps = [{ id: "first", tokens: 999 }];
    const next = createDocument({ budgets: [{ name: "alpha", topUps }] });
    const faults = checkSuccession(base, next).map(fault => `${formatPath(fault.path)}: ${fault.message}`);
    t.deepEqual(faults, [
        "$.budgets[0].topUps[0].tokens: top-up first was accepted with 1000 tokens and must keep them; "
        + "add a top-up or close the budget instead",
        "$.budgets[0].topUps: top-up extra-1 was accepted and must stay; close the budget instead",
        "$.budgets: budget beta was accepted and must stay; close it instead",
    ]);
});

test("raising the tokens of an accepted top-up is rejected, since they are part of its identity", t => {
    const next = createDocument({ budgets: [createBudget("alpha", 1001), createBudget("beta")] });
    t.is(checkSuccession(createDocument(), next).length, 1);
});

test("a diff lists added, removed and changed items in a stable order", t => {
    const base = createDocument();
    const targets = base.targets.slice(0, 1).map(target => ({ ...target, capacity: 9 }));
    const next = createDocument({ targets, budgets: [createBudget("gamma"), ...base.budgets] });
    t.deepEqual(getLines(base, next), [
        "+ budgets/gamma",
        "+ budgets/gamma/name: \"gamma\"",
        "+ budgets/gamma/topUps/first/id: \"first\"",
        "+ budgets/gamma/topUps/first/tokens: 1000",
        "~ targets/engine-1/capacity: 8 -> 9",
        "- targets/service-1",
        "- targets/service-1/availabilityZone: \"zone-b\"",
        "- targets/service-1/capacity: 4",
        "- targets/service-1/kind: \"service\"",
        "- targets/service-1/name: \"service-1\"",
        "- targets/service-1/url: \"http://127.0.0.1:9002\"",
    ]);
});

test("a diff ignores the order of items, except that of rules", t => {
    const base = createDocument();
    t.deepEqual(getLines(base, { ...base, teams: [...base.teams].reverse() }), []);
    t.deepEqual(getLines(base, { ...base, rules: [...base.rules].reverse() }), [
        "~ rules: order all-drafts, alpha-visits -> alpha-visits, all-drafts",
    ]);
});
