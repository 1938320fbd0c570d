import { NameScores } from "@ospreyreel/peer";
import test from "ava";
import { LimitFleet } from "../fixtures/limit-fleet.js";

/** Name of the target's start. */
const TARGET_KEY = "target-1@1";

const INTERVAL_MS = 50;
const WINDOW_MS = 1_000;

/** Longer than all runs; the target of the fleet starts as it begins. */
const COLD_START_MS = 120_000;

/** Time in which an instance notices that another one is lost, and spread of it over the instances, in milliseconds. */
const LOSS_MS = 1_100;
const SPREAD_MS = 400;

/** Most sends in any second: one and a half times the rate, and five. */
const getMaxSends = (perS: number): number => 1.5 * perS + 5;

const createFleet = async (count: number, coldPerS: number): Promise<LimitFleet> => {
    const fleet = new LimitFleet(count);
    fleet.cold = { coldPerS, coldStartMs: COLD_START_MS };
    // The streams of changes are subscribed to in the next turn.
    await fleet.settle();
    fleet.delayMembership();
    await fleet.settle();
    return fleet;
};

const getDelayMs = (index: number): number => LOSS_MS + index * 37 % SPREAD_MS;

for (const [count, perS] of [[1, 3], [8, 4], [73, 2.5], [73, 30], [200, 12.5]] as const) {
    test(`${count} instances together send ${perS} requests a second to a target that has just started, and no more`, async t => {
        const fleet = await createFleet(count, perS);
        await fleet.run(12_000, INTERVAL_MS);
        const sends = fleet.getMaxSends(0, WINDOW_MS);
        t.true(sends <= getMaxSends(perS), `${sends} sends in a second`);
        t.true(fleet.sentAtMs.length >= 0.7 * perS * 10, `${fleet.sentAtMs.length} sends`);
    });
}

// Each part of a partition has a keeper of its own, and each instance notices the partition at another time.
test("the parts of a partition together keep the rate of a cold target", async t => {
    const fleet = await createFleet(20, 40);
    await fleet.run(4_000, INTERVAL_MS);
    fleet.separate(9, getDelayMs);
    const cutAtMs = fleet.nowMs;
    await fleet.run(9_000, INTERVAL_MS);
    const sends = fleet.getMaxSends(0, WINDOW_MS);
    t.true(sends <= getMaxSends(40), `${sends} sends in a second`);
    const late = fleet.sentAtMs.filter(at => at > cutAtMs + 5_000).length;
    t.true(late >= 0.5 * 40 * 4, `${late} sends`);
});

// An instance that joins may be the new keeper before the old one knows of it.
test("the rate of a cold target holds while instances join and change its keeper", async t => {
    const fleet = await createFleet(6, 40);
    await fleet.run(4_000, INTERVAL_MS);
    const names = ["instance-0", ...[...Array(400).keys()].map(index => `joined-${index}`)];
    const scores = new NameScores(names).getScores(TARGET_KEY);
    const joining = names.map((name, index) => ({ name, score: scores[index] ?? 0 }))
        .filter(({ score }) => score > (scores[0] ?? 0))
        .toSorted((x, y) => x.score - y.score);
    t.true(joining.length > 5);
    for (const { name } of joining) {
        // Each one is the keeper as soon as it is known.
        fleet.joinLate(name, index => 850 + index * 7);
        await fleet.run(4_000, INTERVAL_MS);
    }
    const sends = fleet.getMaxSends(0, WINDOW_MS);
    t.true(sends <= getMaxSends(40), `${sends} sends in a second`);
});

test("an instance that is cut off from most others sends nothing to a cold target", async t => {
    const fleet = await createFleet(20, 40);
    await fleet.run(4_000, INTERVAL_MS);
    fleet.separate(2, getDelayMs);
    await fleet.run(4_000, INTERVAL_MS);
    const states = fleet.members.slice(0, 2);
    const sent = await Promise.all(states.map(member => member.permits.acquire(fleet.getState(member))));
    t.deepEqual(sent, [false, false]);
});

test("a target that turns cold again at one instance is limited at all", async t => {
    const fleet = await createFleet(8, 4);
    fleet.cold = { coldPerS: 4, coldStartMs: 0 };
    await fleet.run(1_000, INTERVAL_MS);
    t.true(fleet.getMaxSends(0, WINDOW_MS) > getMaxSends(4));
    fleet.coldMs = 6_000;
    const [first] = fleet.members;
    if (first === undefined) {
        t.fail("no members");
        return;
    }
    await fleet.send(first);
    fleet.coldMs = undefined;
    await fleet.settle();
    const coldFromMs = fleet.nowMs + 1;
    await fleet.run(5_000, INTERVAL_MS);
    const sends = fleet.getMaxSends(coldFromMs, WINDOW_MS);
    t.true(sends > 0 && sends <= getMaxSends(4), `${sends} sends in a second`);
    const warmFromMs = coldFromMs + 6_000;
    await fleet.run(5_000, INTERVAL_MS);
    t.true(fleet.getMaxSends(warmFromMs, WINDOW_MS) > getMaxSends(4));
});

test("a cold target that names a limit gets the smaller one of both", async t => {
    for (const [named, perS] of [[2, 30], [40, 4]] as const) {
        const fleet = await createFleet(8, perS);
        fleet.limitPerS = named;
        await fleet.run(3_000, INTERVAL_MS);
        const fromMs = fleet.nowMs;
        await fleet.run(8_000, INTERVAL_MS);
        const sends = fleet.sentAtMs.filter(at => at >= fromMs).length;
        t.true(sends <= 1.3 * Math.min(named, perS) * 8, `${sends} sends`);
        t.true(sends >= 0.7 * Math.min(named, perS) * 8, `${sends} sends`);
    }
});
