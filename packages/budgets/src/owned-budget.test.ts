import { KvHistory } from "@ospreyreel/kv";
import test from "ava";
import { CopyHorizon } from "./copy-horizon.js";
import { OwnedBudget } from "./owned-budget.js";
import type { BudgetBounds } from "./shard-record.js";
import { UseCeilings } from "./use-ceilings.js";

const createBudget = (bounds: BudgetBounds): OwnedBudget => {
    const horizon = new CopyHorizon({ history: new KvHistory(), maxCopyAgeMs: 1_000 });
    return new OwnedBudget("team", bounds, UseCeilings.startAt(1_000, horizon));
};

const draw = (seq: number, epoch: number, received: number, returned: number) => ({
    budget: "team",
    seq,
    epoch,
    received,
    returned,
    want: 0,
    least: 0,
});

test("a note that was in flight when a lower limit was sent does not count", t => {
    const budget = createBudget({ window: 0, limit: 100 });
    budget.limitCap = 50;
    t.false(budget.acceptNote(80));
    t.is(budget.usable, 0);
    t.true(budget.acceptNote(50));
    t.is(budget.usable, 50);
});

test("tokens of a response that a borrower never received are reclaimed at its next draw", t => {
    const budget = createBudget({ window: 0, limit: 0 });
    t.true(budget.reconcile("a", draw(1, 0, 0, 0), 1));
    budget.reserve(70);
    budget.handOut("a", 70);
    t.true(budget.reconcile("a", draw(2, 0, 0, 0), 1));
    t.is(budget.spent, 0);
});

test("returned tokens count once, even if the request that reports them is repeated", t => {
    const budget = createBudget({ window: 0, limit: 0 });
    budget.reconcile("a", draw(1, 1, 0, 0), 1);
    budget.reserve(70);
    budget.handOut("a", 70);
    t.true(budget.reconcile("a", draw(2, 1, 70, 30), 1));
    t.false(budget.reconcile("a", draw(2, 1, 70, 30), 1));
    t.true(budget.reconcile("a", draw(3, 1, 70, 30), 1));
    t.is(budget.spent, 40);
});

test("tokens left of an earlier epoch are returned to the later owner", t => {
    const budget = createBudget({ window: 500, limit: 500 });
    budget.reconcile("a", draw(1, 1, 0, 0), 2);
    budget.reconcile("a", draw(2, 2, 0, 120), 2);
    t.is(budget.spent, 380);
});

// Guards against borrowers that go back to an earlier owner, as those of earlier versions do.
test("what a borrower has used stays spent when its counts are of another epoch than before", t => {
    const budget = createBudget({ window: 0, limit: 0 });
    budget.reconcile("a", draw(1, 1, 0, 0), 2);
    budget.reserve(70);
    budget.handOut("a", 70);
    budget.reconcile("a", draw(2, 2, 70, 0), 2);
    t.true(budget.reconcile("a", draw(3, 1, 40, 0), 2));
    t.is(budget.spent, 70);
    budget.reserve(20);
    budget.handOut("a", 20);
    t.true(budget.reconcile("a", draw(4, 2, 20, 5), 2));
    t.is(budget.spent, 85);
});

test("a draw of a later owner's epoch changes no counts", t => {
    const budget = createBudget({ window: 0, limit: 0 });
    budget.reconcile("a", draw(1, 1, 0, 0), 1);
    budget.reserve(70);
    budget.handOut("a", 70);
    t.false(budget.reconcile("a", draw(2, 2, 0, 0), 1));
    t.is(budget.spent, 70);
});
