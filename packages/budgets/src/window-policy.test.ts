import test from "ava";
import fc from "fast-check";
import { WindowPolicy } from "./window-policy.js";

const anyNumbers = fc.record({
    prepaid: fc.nat(1_000_000),
    spent: fc.nat(1_000_000),
    ratePerS: fc.nat(100_000),
    usualRatePerS: fc.nat(100_000),
    window: fc.nat(1_000_000),
    noted: fc.nat(1_000_000),
}).filter(({ prepaid, spent, window, noted }) => spent <= prepaid && window <= prepaid && noted <= prepaid);

test("bounds never shrink below the possible use and never exceed the prepaid tokens", t => {
    const policy = new WindowPolicy();
    fc.assert(fc.property(anyNumbers, numbers => {
        const { window, limit } = policy.getBounds(numbers);
        return window >= Math.max(numbers.window, numbers.noted) && window <= numbers.prepaid
            && limit >= window && limit <= numbers.prepaid + 1;
    }));
    t.pass();
});

test("a note covers the use and never exceeds the limit", t => {
    const policy = new WindowPolicy();
    fc.assert(fc.property(anyNumbers, fc.nat(1_000_000), (numbers, limit) => {
        const upTo = policy.getNote(numbers, limit);
        return upTo === undefined ? limit < numbers.spent : upTo >= numbers.spent && upTo <= limit;
    }));
    t.pass();
});

test("losing all instances strands at most 3% of a budget of which a fifth remains", t => {
    const policy = new WindowPolicy();
    const prepaid = 44_000;
    const { limit } = policy.getBounds({
        prepaid,
        spent: 35_200,
        ratePerS: 1_000,
        usualRatePerS: 1_000,
        window: 0,
        noted: 0,
    });
    t.true(limit - 35_200 <= prepaid * 0.03);
});

test("nine seconds of use can be noted of a budget of which half remains", t => {
    const policy = new WindowPolicy();
    const { limit } = policy.getBounds({
        prepaid: 44_000,
        spent: 22_000,
        ratePerS: 1_000,
        usualRatePerS: 1_000,
        window: 0,
        noted: 0,
    });
    t.true(limit >= 22_000 + 9_000);
});

const steady = { prepaid: 100_000, spent: 20_000, ratePerS: 500, usualRatePerS: 500, window: 20_000, noted: 0 };
const owned = { latest: 20_000, measuredMs: 60_000, isFirstOwner: true };

test("a ceiling leads by the use of an outage and of a copy's age, and is raised before it is near", t => {
    const policy = new WindowPolicy();
    t.is(policy.getCeiling(steady, owned), 31_000);
    t.is(policy.getCeiling({ ...steady, spent: 20_500 }, { ...owned, latest: 31_000 }), 31_000);
    t.is(policy.getCeiling({ ...steady, spent: 21_500 }, { ...owned, latest: 31_000 }), 32_500);
});

test("a restore that takes the owner of a hardly used budget strands little of it, once its use is known", t => {
    const policy = new WindowPolicy();
    const idle = { ...steady, ratePerS: 1, usualRatePerS: 1 };
    t.is(policy.getCeiling(idle, { ...owned, latest: 100_000 }), 25_000);
    t.is(policy.getCeiling(idle, { ...owned, latest: 100_000, measuredMs: 1_000 }), 100_000);
});

test("all of a new budget lies below its ceiling until its use is known", t => {
    const policy = new WindowPolicy();
    const fresh = { ...steady, spent: 0, ratePerS: 0, usualRatePerS: 0, window: 0 };
    t.is(policy.getCeiling(fresh, { latest: 50_000, measuredMs: 0, isFirstOwner: true }), 100_000);
    t.is(policy.getCeiling(fresh, { latest: 50_000, measuredMs: 0, isFirstOwner: false }), 50_000);
});
