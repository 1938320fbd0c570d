import test from "ava";
import { AffinityPlacement } from "./affinity-placement.js";
import type { PlacementNumbers } from "./placement-policy.js";

const createNumbers = (overrides: Partial<PlacementNumbers> = {}): PlacementNumbers => ({
    inFlight: 0,
    slots: 96,
    isNear: false,
    slowness: 1,
    errorShare: 0,
    affinity: 0,
    ...overrides,
});

/** Places requests that never finish; returns how many each target got. */
const placeRequests = (
    requests: number,
    targets: readonly PlacementNumbers[],
    affinities: (at: number) => readonly number[],
) => {
    const policy = new AffinityPlacement();
    const load = targets.map(() => 0);
    for (let at = 0; at < requests; at++) {
        const scores = affinities(at);
        const chosen = policy.choose(targets.map((target, i) => ({
            ...target,
            inFlight: load[i] ?? 0,
            affinity: scores[i] ?? 0,
        })));
        load[chosen] = (load[chosen] ?? 0) + 1;
    }
    return load;
};

test("a key goes to its preferred target while that is not overloaded", t => {
    const targets = [createNumbers({ affinity: 1 }), createNumbers({ affinity: 3 }), createNumbers({ affinity: 2 })];
    t.is(new AffinityPlacement().choose(targets), 1);
});

test("load pattern, one key with a third of the traffic: it spills over, and no target exceeds the load bound", t => {
    const targets = [...Array(12).keys()].map(() => createNumbers());
    const hot = targets.map((_, i) => i === 4 ? 100 : i + 1);
    const load = placeRequests(
        600,
        targets,
        at => at % 3 === 0 ? hot : targets.map((_, i) => 1 + (i * 7 + at * 5) % 12),
    );
    const mean = 600 / targets.length;
    t.true(Math.max(...load) <= mean * 1.25 + 3, `loads ${load.join(" ")}`);
});

test("load pattern, a third of the targets removed: the remaining ones share the keys evenly", t => {
    const targets = [...Array(8).keys()].map(() => createNumbers());
    const load = placeRequests(400, targets, at => targets.map((_, i) => 1 + (i * 5 + at * 3) % 8));
    t.true(Math.max(...load) - Math.min(...load) <= 400 / 8 * 0.6, `loads ${load.join(" ")}`);
});

test("without affinity a target with errors or slow responses gets fewer requests", t => {
    const policy = new AffinityPlacement();
    t.is(policy.choose([createNumbers({ errorShare: 0.5, inFlight: 1 }), createNumbers({ inFlight: 2 })]), 1);
    t.is(
        policy.choose([
            createNumbers({ slowness: 6, inFlight: 1, slots: 6 }),
            createNumbers({ inFlight: 3, slots: 6 }),
        ]),
        1,
    );
});

test("among equal targets the one in the same availability zone is chosen", t => {
    t.is(new AffinityPlacement().choose([createNumbers(), createNumbers({ isNear: true })]), 1);
});
