import test from "ava";
import { type PlacementField, ReportPlacement, type TargetNumbers } from "./report-placement.js";

const createNumbers = (overrides: Partial<TargetNumbers> = {}): TargetNumbers => ({
    requests: 4,
    deviation: 0,
    slots: 12,
    speed: 1,
    hasFreeSlot: true,
    fitsMemory: true,
    isNear: true,
    hasIdleConnection: false,
    errorShare: 0,
    ...overrides,
});

/** Places one request at a field whose picks go through the targets in turn; returns the index. */
const choose = (targets: readonly TargetNumbers[], field: Partial<PlacementField> = {}): number | undefined => {
    let picks = 0;
    const free = targets.findIndex(target => target.hasFreeSlot && target.fitsMemory);
    return new ReportPlacement(() => 0.5).choose({
        count: targets.length,
        utilization: 4 / 12,
        meanSlots: 12,
        order: [],
        partRequests: 0,
        recent: [],
        isAllowed: () => true,
        getNumbers: index => targets[index] ?? createNumbers(),
        pick: of => of === "free" ? (free < 0 ? undefined : free) : of === "near" ? picks++ % 2 : 2,
        ...field,
    })?.index;
};

test("a target whose slots or memory are in use is left for any other one", t => {
    const usual = createNumbers({ requests: 11 });
    t.is(choose([createNumbers({ hasFreeSlot: false }), createNumbers({ fitsMemory: false }), usual]), 2);
    const busy = createNumbers({ hasFreeSlot: false });
    t.is(choose([busy, busy, busy, createNumbers()]), 3);
    t.is(choose([busy, createNumbers({ fitsMemory: false }), createNumbers({ fitsMemory: false })]), 0);
});

test("a near target is preferred up to a difference in load, and one with an idle connection up to a smaller one", t => {
    const busier = createNumbers({ requests: 7 });
    t.is(choose([busier, busier, createNumbers({ isNear: false })]), 2);
    t.is(choose([createNumbers({ requests: 5 }), busier, createNumbers({ isNear: false })]), 0);
    const idle = createNumbers({ requests: 5, hasIdleConnection: true });
    t.is(choose([createNumbers(), createNumbers(), busier, idle], { recent: [3] }), 3);
    t.is(choose([createNumbers({ requests: 2 }), createNumbers(), busier, idle], { recent: [3] }), 0);
});

test("a prompt part stays at its first target up to the load bound, then goes to the next in its order", t => {
    const order = [1, 3, 0, 2];
    const targets = [4, 4, 4, 4].map(requests => createNumbers({ requests }));
    t.is(choose(targets, { order }), 1);
    const overloaded = targets.map((target, index) => index === 1 ? createNumbers({ requests: 8 }) : target);
    t.is(choose(overloaded, { order }), 3);
    t.is(choose(targets, { order, isAllowed: index => index !== 1 }), 3);
    // A demand of 12 requests at once needs several targets, the less loaded of which is taken.
    const spread = { order, partRequests: 12 };
    t.not(choose([1, 6, 6, 1].map(requests => createNumbers({ requests })), spread), 1);
});
