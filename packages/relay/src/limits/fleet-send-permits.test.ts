import test from "ava";
import { Readable } from "node:stream";
import { LimitFleet, type LimitMember } from "../fixtures/limit-fleet.js";
import { ResponsibleInstances } from "../instance/responsible-instances.js";

const WINDOW_MS = 4_000;

/** Time after which a limit must hold, in milliseconds. */
const CONTACT_MS = 3_000;

const INTERVAL_MS = 50;

/** Most sends in a window: one and a half times the limit, and five. */
const getMaxSends = (perS: number): number => 1.5 * perS * WINDOW_MS / 1_000 + 5;

const getFirst = ({ members: [first] }: LimitFleet): LimitMember => {
    if (first === undefined) {
        throw new Error("no members");
    }
    return first;
};

/** The member that hands out the sends to the target. */
const findKeeper = (fleet: LimitFleet): LimitMember => {
    const { hub } = getFirst(fleet);
    const [keeper] = new ResponsibleInstances({ hub, nowMs: () => fleet.nowMs }).choose("target-1@1");
    const member = fleet.members.find(other => other.hub.self().instance === keeper?.instance);
    if (member === undefined) {
        throw new Error("no keeper");
    }
    return member;
};

for (const [count, perS] of [[1, 3], [8, 2.9], [60, 2.9], [60, 0.5], [8, 0], [8, 40], [200, 12.5]] as const) {
    test(`${count} instances together keep a limit of ${perS} requests a second, and use it`, async t => {
        const fleet = new LimitFleet(count);
        fleet.limitPerS = perS;
        const startedAtMs = fleet.nowMs;
        await fleet.run(12_000, INTERVAL_MS);
        const sends = fleet.getMaxSends(startedAtMs + CONTACT_MS, WINDOW_MS);
        t.true(sends <= getMaxSends(perS), `${sends} sends`);
        t.true(sends >= 0.75 * perS * WINDOW_MS / 1_000, `${sends} sends`);
    });
}

test("a limit that one instance has seen holds at all instances before the target tells them", async t => {
    const fleet = new LimitFleet(8);
    fleet.limitPerS = 2;
    await fleet.send(getFirst(fleet));
    await fleet.settle();
    t.deepEqual(fleet.members.map(member => fleet.getState(member).limit.perS), fleet.members.map(() => 2));
});

test("the limit holds while the instance that hands out the sends is lost and others join", async t => {
    const fleet = new LimitFleet(8);
    fleet.limitPerS = 3;
    await fleet.run(CONTACT_MS, INTERVAL_MS);
    const startedAtMs = fleet.nowMs;
    await fleet.run(2_000, INTERVAL_MS);
    fleet.kill(findKeeper(fleet));
    await fleet.run(2_000, INTERVAL_MS);
    for (let joined = 0; joined < 6; joined++) {
        const state = fleet.getState(fleet.join(`joined-${joined}`));
        await fleet.settle();
        t.is(state.limit.perS, 3);
        await fleet.run(1_000, INTERVAL_MS);
    }
    const sends = fleet.getMaxSends(startedAtMs, WINDOW_MS);
    t.true(sends <= getMaxSends(3), `${sends} sends`);
    t.true(sends >= 6, `${sends} sends`);
});

test("an instance that cannot reach the one that hands out the sends sends nothing to the target", async t => {
    const fleet = new LimitFleet(8);
    fleet.limitPerS = 3;
    await fleet.run(CONTACT_MS, INTERVAL_MS);
    fleet.nowMs += 2_000;
    const keeper = findKeeper(fleet);
    const others = fleet.members.filter(member => member !== keeper);
    const acquireAll = async (): Promise<readonly boolean[]> =>
        await Promise.all(others.map(other => other.permits.acquire(fleet.getState(other))));
    t.true((await acquireAll()).includes(true));
    fleet.network.disconnect(keeper.hub);
    const sent = await acquireAll();
    t.deepEqual(sent, others.map(() => false));
    t.true(others.every(({ log }) => log.lines.some(({ event }) => event === "send not acquired")));
});

test("the end of a limit is noticed at all instances, also of a limit of none", async t => {
    for (const perS of [3, 0]) {
        const fleet = new LimitFleet(8);
        fleet.limitPerS = perS;
        await fleet.run(CONTACT_MS, INTERVAL_MS);
        fleet.limitPerS = undefined;
        await fleet.run(5_000, INTERVAL_MS);
        t.deepEqual(fleet.members.map(member => fleet.getState(member).limit.perS), fleet.members.map(() => undefined));
        t.true(await fleet.send(getFirst(fleet)));
    }
});

test("a response to a request that was sent before the limit was named does not end it", t => {
    const fleet = new LimitFleet(2);
    const member = getFirst(fleet);
    const state = fleet.getState(member);
    const head = { status: 200, headers: [], isFramed: true };
    const answer = { kind: "answer", head, body: Readable.from([]) } as const;
    const sentAtMs = fleet.nowMs;
    fleet.nowMs += 10;
    member.permits.recordOutcome(state, { ...answer, notes: { limit: { perS: 2 } } }, sentAtMs);
    fleet.nowMs += 10;
    member.permits.recordOutcome(state, answer, sentAtMs);
    t.is(state.limit.perS, 2);
    member.permits.recordOutcome(state, { ...answer, head: { ...head, status: 500 } }, fleet.nowMs);
    member.permits.recordOutcome(state, { kind: "not_run", reason: "full" }, fleet.nowMs);
    t.is(state.limit.perS, 2);
    member.permits.recordOutcome(state, answer, fleet.nowMs);
    t.is(state.limit.perS, undefined);
});

test("a limit that changes with each response holds by its newest value, and an unreadable one changes nothing", async t => {
    const fleet = new LimitFleet(8);
    fleet.limitPerS = 20;
    await fleet.run(1_000, INTERVAL_MS);
    fleet.limitPerS = 2;
    const startedAtMs = fleet.nowMs;
    await fleet.run(10_000, INTERVAL_MS);
    const sends = fleet.getMaxSends(startedAtMs + 500, WINDOW_MS);
    t.true(sends <= getMaxSends(2), `${sends} sends`);
    const member = getFirst(fleet);
    member.permits.recordOutcome(
        fleet.getState(member),
        { kind: "not_run", reason: "full", notes: { limit: { perS: undefined } } },
        fleet.nowMs,
    );
    t.is(fleet.getState(member).limit.perS, 2);
    t.true(member.log.lines.some(({ event }) => event === "target limit not readable"));
});

test("a target that starts again under its id has no limit until it names one", async t => {
    const fleet = new LimitFleet(3);
    fleet.limitPerS = 1;
    await fleet.run(1_000, INTERVAL_MS);
    const { directory } = getFirst(fleet);
    const { target } = fleet.getState(getFirst(fleet));
    directory.put({ ...target, startedAtMs: 2 });
    t.is(fleet.getState(getFirst(fleet)).limit.perS, undefined);
});
