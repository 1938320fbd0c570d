import test from "ava";
import { KnownBudgets, REWRITTEN_WITHIN_MS } from "./known-budgets.js";

/** A horizon whose present era became known some time ago. */
const createHorizon = (era: number, knownForMs: number) => {
    const horizon = { era, eraKnownAtMs: performance.now() - knownForMs };
    return {
        horizon,
        /** Begins the next era at the moment. */
        restore: (): void => {
            horizon.era += 1;
            horizon.eraKnownAtMs = performance.now();
        },
    };
};

test("a budget that appears long after a restore can only have been used since", t => {
    const { horizon, restore } = createHorizon(3, 2 * REWRITTEN_WITHIN_MS);
    const budgets = new KnownBudgets(horizon);
    budgets.add(["old"]);
    t.deepEqual(budgets.add(["old", "new"]), ["new"]);
    t.is(budgets.getFirstEra("new"), 3);
    restore();
    restore();
    t.is(budgets.getFirstEra("new"), 3);
});

test("of a budget of the first desired state it is not known since when it was used", t => {
    const { horizon } = createHorizon(3, 2 * REWRITTEN_WITHIN_MS);
    const budgets = new KnownBudgets(horizon);
    budgets.add(["old"]);
    t.is(budgets.getFirstEra("old"), undefined);
    t.is(budgets.getFirstEra("never seen"), undefined);
});

test("a budget that appears just after a restore may have been used in the era before it, and not earlier", t => {
    const { horizon, restore } = createHorizon(3, 2 * REWRITTEN_WITHIN_MS);
    const budgets = new KnownBudgets(horizon);
    budgets.add(["old"]);
    restore();
    budgets.add(["old", "new"]);
    t.is(budgets.getFirstEra("new"), 3);
});

// Guards against use that is not counted, where an era is too short to see what was lost before it.
test("a budget that appears after two restores in a row may have been used in the era before the first one", t => {
    const { horizon, restore } = createHorizon(3, 2 * REWRITTEN_WITHIN_MS);
    const budgets = new KnownBudgets(horizon);
    budgets.add(["old"]);
    restore();
    budgets.add(["old"]);
    restore();
    budgets.add(["old", "new"]);
    t.is(budgets.getFirstEra("new"), 3);
});

test("an instance that started just before a restore cannot tell since when a budget was used", t => {
    const { horizon, restore } = createHorizon(3, 0);
    const budgets = new KnownBudgets(horizon);
    budgets.add(["old"]);
    restore();
    budgets.add(["old", "new"]);
    t.is(budgets.getFirstEra("new"), undefined);
});
