import test from "ava";
import { ServedShares } from "./served-shares.js";
import { getLevelOverShare, UrgencyOrder } from "./urgency-order.js";

const REQUEST = { priority: 2, deadlineAtMs: 2_000, waitingSinceMs: 1_000, isReturned: false };

test("requests are ordered by share, urgency, return and time left", t => {
    const order = new UrgencyOrder(new ServedShares());
    const ranks = [
        { ...REQUEST, priority: 0, deadlineAtMs: 9_000 },
        { ...REQUEST, isReturned: true, deadlineAtMs: 3_000 },
        REQUEST,
        { ...REQUEST, deadlineAtMs: 2_100 },
        { ...REQUEST, priority: getLevelOverShare(0), deadlineAtMs: 1_100 },
    ].map(req => order.getRank(req, 1_000));
    t.deepEqual(ranks, ranks.toSorted((a, b) => a - b));
    t.is(new Set(ranks).size, ranks.length);
});

// Guards against less urgent requests that never start while urgent ones alone exceed the capacity.
test("a less urgent request that has waited long goes first now and then, while its kind is served much less often", t => {
    const served = new ServedShares();
    const order = new UrgencyOrder(served);
    served.recordOffered(2, 0);
    for (let start = 0; start < 8; start++) {
        served.recordOffered(0, 0);
        served.recordStarted(0, 0);
        order.recordStart(0);
    }
    const urgent = { ...REQUEST, priority: 0 };
    t.true(order.getRank(REQUEST, 1_400) > order.getRank(urgent, 1_400));
    t.true(order.getRank(REQUEST, 1_600) < order.getRank(urgent, 1_600));
    order.recordStart(2);
    t.true(order.getRank(REQUEST, 1_600) > order.getRank(urgent, 1_600));
});
