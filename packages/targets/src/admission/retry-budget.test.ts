import test from "ava";
import fc from "fast-check";
import { ManualClock } from "../fixtures/manual-clock.js";
import { RetryBudget } from "./retry-budget.js";

test("retries never exceed their share of first attempts plus the floor", t => {
    fc.assert(fc.property(fc.array(fc.boolean(), { maxLength: 300 }), steps => {
        const budget = new RetryBudget({ share: 0.1, floorPerS: 1, now: new ManualClock().now });
        let fresh = 0;
        let retries = 0;
        return steps.every(isFresh => {
            if (isFresh) {
                fresh += 1;
                budget.recordFirstAttempt();
            }
            else if (budget.tryRetry()) {
                retries += 1;
            }
            return retries <= fresh * 0.1 + 1.000001;
        });
    }));
    t.pass();
});

test("the floor refills with time, up to the maximum that can be saved", t => {
    const clock = new ManualClock();
    const budget = new RetryBudget({ floorPerS: 1, maxSaved: 2, now: clock.now });
    t.true(budget.tryRetry());
    t.false(budget.tryRetry());
    clock.advance(60_000);
    t.deepEqual([budget.tryRetry(), budget.tryRetry(), budget.tryRetry()], [true, true, false]);
});
