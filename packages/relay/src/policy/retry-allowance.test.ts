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

const takeAll = (allowance: RetryAllowance): number => {
    let taken = 0;
    while (allowance.tryTake()) {
        taken += 1;
    }
    return taken;
};

test("in any window repeats stay within the ratio and the slack", t => {
    const { clock, allowance } = createAllowance();
    const times: number[] = [];
    for (; clock.ms < 40_000; clock.ms += 10) {
        allowance.noteRequest();
        if (allowance.tryTake()) {
            times.push(clock.ms);
        }
    }
    const most = Math.max(...times.map(from => times.filter(at => at >= from && at < from + 10_000).length));
    t.true(most <= 0.2 * 1_000 + 50, `${most} repeats in a window`);
    t.true(most >= 100);
});

test("the slack is shared by all instances", t => {
    t.true(takeAll(createAllowance(10).allowance) <= 5);
    t.true(takeAll(createAllowance(1).allowance) >= 35);
});

test("repeats of an old window do not count", t => {
    const { clock, allowance } = createAllowance();
    const first = takeAll(allowance);
    t.is(takeAll(allowance), 0);
    clock.ms = 10_600;
    t.is(takeAll(allowance), first);
});
