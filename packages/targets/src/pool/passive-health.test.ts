import test from "ava";
import { PassiveHealth } from "./passive-health.js";

test("consecutive failures eject for a growing time, and the return is slow", t => {
    const health = new PassiveHealth({ maxFailures: 2, ejectionMs: 100, maxEjectionMs: 300, slowReturnMs: 1000 });
    t.false(health.recordFailure(0));
    health.recordSuccess(0);
    t.false(health.recordFailure(0));
    t.true(health.recordFailure(0));
    t.true(health.isEjected(99));
    t.is(health.getWeight(100), 0.1);
    t.true(health.recordFailure(100));
    t.is(health.endOfEjectionMs, 300);
    t.true(health.recordFailure(300));
    t.is(health.endOfEjectionMs, 600);
    t.is(health.getWeight(1100), 0.6);
    t.is(health.getWeight(9000), 1);
});

test("a success after the slow return resets earlier ejections", t => {
    const health = new PassiveHealth({ maxFailures: 1, ejectionMs: 100, slowReturnMs: 1000 });
    health.recordFailure(0);
    health.recordSuccess(500);
    t.is(health.endOfEjectionMs, 100);
    health.recordSuccess(2000);
    t.is(health.endOfEjectionMs, undefined);
});
