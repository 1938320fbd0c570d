import type { CurrentDocument } from "@ospreyreel/config";
import test from "ava";
import { BudgetShares } from "./budget-shares.js";

/** A document with only budgets; counts how often they are read. */
const createDocument = (
    revision: number,
    prepaid: Readonly<Record<string, number>>,
): { readonly current: CurrentDocument; readonly getReads: () => number; } => {
    let reads = 0;
    const budgets = Object.entries(prepaid).map(([name, tokens]) => ({ name, topUps: [{ tokens }] }));
    const document = {
        get budgets() {
            reads += 1;
            return budgets;
        },
    };
    return { current: { revision, document } as unknown as CurrentDocument, getReads: () => reads };
};

test("a budget's share is its fraction of all prepaid tokens", t => {
    const { current } = createDocument(1, { a: 300, b: 100 });
    const shares = new BudgetShares(() => current);
    t.deepEqual(["a", "b", "c"].map(budget => shares.get(budget)), [0.75, 0.25, 0]);
    t.is(new BudgetShares(() => createDocument(1, { a: 0 }).current).get("a"), 0);
    t.is(new BudgetShares(() => undefined).get("a"), 0);
});

test("the budgets are summed once for each revision", t => {
    const first = createDocument(1, { a: 300, b: 100 });
    const second = createDocument(2, { a: 100, b: 100 });
    let { current } = first;
    const shares = new BudgetShares(() => current);
    t.deepEqual([1, 2, 3].map(() => shares.get("a")), [0.75, 0.75, 0.75]);
    t.is(first.getReads(), 1);
    ({ current } = second);
    t.deepEqual([1, 2, 3].map(() => shares.get("a")), [0.5, 0.5, 0.5]);
    t.is(second.getReads(), 1);
});
