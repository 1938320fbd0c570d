import test from "ava";
import { getExpectedLoad } from "./expected-load.js";

const USUAL = { slots: 12, usual: 6, tokensPerRequest: 1_000, holdMs: 500 };

const FRESH = { running: 4, queued: 0, usedTokens: 50_000, capacityTokens: 100_000, ageMs: 100, weight: 1 };

test("a target whose requests wait for memory has no free slot, as long as its report is fresh", t => {
    t.true(getExpectedLoad(FRESH, USUAL).hasFreeSlot);
    t.false(getExpectedLoad({ ...FRESH, queued: 3 }, USUAL).hasFreeSlot);
    t.true(getExpectedLoad({ ...FRESH, queued: 3, ageMs: 2_000, weight: 0.5 }, USUAL).hasFreeSlot);
});

test("the older a report, the closer the expected load is to the mean, and the less memory is sure to be free", t => {
    const loads = [0, 300, 1_000, 2_500].map(ageMs => getExpectedLoad({ ...FRESH, running: 0, ageMs }, USUAL));
    t.is(loads[0]?.requests, 0);
    t.is(loads[0]?.deviation, 0);
    loads.slice(1).forEach((load, at) => {
        t.true(load.requests > (loads[at]?.requests ?? 0) && load.requests < 6);
        t.true(load.deviation > (loads[at]?.deviation ?? 0));
        t.true(load.freeTokens < (loads[at]?.freeTokens ?? 0));
    });
    t.is(getExpectedLoad({ ...FRESH, capacityTokens: 0 }, USUAL).freeTokens, Number.POSITIVE_INFINITY);
});
