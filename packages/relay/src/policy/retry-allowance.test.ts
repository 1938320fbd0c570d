import test from "ava";
import { RetryAllowance } from "./retry-allowance.js";

const createAllowance = (instances = 1) => {
    const clock = { ms: 0 };
    const allowance = new RetryAllowance({
        ratio: 0.2,
        slack: 50,
        windowMs: 10_000,
        getInstances: () => instances,
        now: () => clock.ms,
    });
    return { clock, allowance };
};

const acquireAll = (allowance: RetryAllowance): number => {
    let acquired = 0;
    while (allowance.tryAcquire()) {
        acquired += 1;
    }
    return acquired;
};

test("in any window retries stay within the ratio and the slack", t => {
    const { clock, allowance } = createAllowance();
    const times: number[] = [];
    for (; clock.ms < 40_000; clock.ms += 10) {
        allowance.recordRequest();
        if (allowance.tryAcquire()) {
            times.push(clock.ms);
        }
    }
    const maxRetries = Math.max(...times.map(from => times.filter(at => at >= from && at < from + 10_000).length));
    t.true(maxRetries <= 0.2 * 1_000 + 50, `${maxRetries} retries in a window`);
    t.true(maxRetries >= 100);
});

test("the slack is shared by all instances", t => {
    t.true(acquireAll(createAllowance(10).allowance) <= 5);
    t.true(acquireAll(createAllowance(1).allowance) >= 35);
});

test("retries of an old window do not count", t => {
    const { clock, allowance } = createAllowance();
    const first = acquireAll(allowance);
    t.is(acquireAll(allowance), 0);
    clock.ms = 10_600;
    t.is(acquireAll(allowance), first);
});
