import test from "ava";
import { runScenarios } from "./fixtures/random-scenario.js";

const STEPS = 250;
const PREPAID = 6_000;
const SEEDS = 60;

test("no seed lets more tokens be used than are prepaid while all instances are isolated at once, beside other faults", async t => {
    const faults = ["network", "isolation", "kill"] as const;
    const results = await runScenarios(SEEDS, { faults, prepaid: PREPAID, steps: STEPS });
    t.deepEqual(results.filter(({ used }) => used > PREPAID), []);
    t.true(results.some(({ used }) => used > 0));
});

test("under random faults no seed lets more tokens be used than are prepaid", async t => {
    const results = await runScenarios(SEEDS, { faults: ["network", "kill"], prepaid: PREPAID, steps: STEPS });
    t.deepEqual(results.filter(({ used }) => used > PREPAID), []);
    t.true(results.some(({ used }) => used > 0));
});

test("no seed lets more tokens be used than are prepaid while owners freeze in turn and responses come late", async t => {
    const faults = ["late", "network"] as const;
    const results = await runScenarios(SEEDS, { faults, prepaid: PREPAID, steps: 2 * STEPS });
    t.deepEqual(results.filter(({ used }) => used > PREPAID), []);
    t.true(results.some(({ used }) => used > 0));
});
