import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { MemoryLog } from "../fixtures/memory-log.js";
import type { GateRequest } from "./request-gate.js";
import { UnlimitedTeams } from "./team-demand.js";
import { WaitingGate } from "./waiting-gate.js";

const createGate = () => {
    const room = { free: 0 };
    const counters = new Map<string, number>();
    const gate = new WaitingGate({
        rooms: { getChance: (_service, _tokens, reserved) => room.free > reserved ? 1 : 0, hasRoomAt: () => true },
        demand: new UnlimitedTeams(),
        maxMs: 2_000,
        log: new MemoryLog(),
        count: name => void counters.set(name, (counters.get(name) ?? 0) + 1),
        nowMs: () => performance.now(),
        random: () => 0,
    });
    return { gate, room, counters };
};

const createRequest = (overrides: Partial<GateRequest> = {}): GateRequest => ({
    service: "service-1",
    team: "",
    priority: 0,
    tokens: 0,
    arrivedAtMs: performance.now(),
    latencyTargetMs: 2_000,
    isReturned: false,
    clock: { leftMs: 6_000, signal: new AbortController().signal },
    ...overrides,
});

test("a request passes in the same turn while its service has room", t => {
    const { gate, room, counters } = createGate();
    room.free = 1;
    t.false(gate.enter(createRequest()) instanceof Promise);
    t.is(counters.size, 0);
});

test("a request waits until a slot is free, and the slot is not given twice", async t => {
    const { gate, room, counters } = createGate();
    const first = gate.enter(createRequest());
    const second = gate.enter(createRequest());
    room.free = 1;
    const pass = await first;
    t.false("refusal" in pass);
    t.is(gate.view[0]?.queued, 1);
    if (!("refusal" in pass)) {
        pass.release();
    }
    t.false("refusal" in await second);
    t.is(counters.get("requests_waited"), 2);
});

test("a request that finds no room in half of its objective is refused with a time to come back", async t => {
    const { gate, counters } = createGate();
    const startedAtMs = performance.now();
    const refused = await gate.enter(createRequest({ latencyTargetMs: 100 }));
    t.true(performance.now() - startedAtMs >= 40);
    t.true("refusal" in refused && refused.refusal.reason === "overloaded");
    t.true("refusal" in refused && (refused.refusal.retryAfterS ?? 0) >= 0.1 && refused.decidedBy["limitMs"] === 50);
    t.is((counters.get("waits_refused_expired") ?? 0) + (counters.get("waits_refused_late") ?? 0), 1);
});

// Guards against a caller that is told only after its time that it cannot be served.
test("a request that would start too late at the measured rate is refused at once", async t => {
    const { gate, counters } = createGate();
    const waiting = Array.from({ length: 20 }, () => gate.enter(createRequest()));
    await sleep(200);
    const startedAtMs = performance.now();
    t.true("refusal" in await gate.enter(createRequest({ latencyTargetMs: 400 })));
    t.true(performance.now() - startedAtMs < 100);
    t.true((counters.get("waits_refused_late") ?? 0) > 0);
    gate.close();
    await Promise.all(waiting.map(async entering => await entering));
});

test("a caller that leaves no longer waits", async t => {
    const { gate } = createGate();
    const leaving = new AbortController();
    const waiting = gate.enter(createRequest({ clock: { leftMs: 6_000, signal: leaving.signal } }));
    t.is(gate.view[0]?.queued, 1);
    leaving.abort();
    t.is(gate.view[0]?.queued, 0);
    // The attempts end it, since they know that its caller has left.
    t.false("refusal" in await waiting);
});

test("a stopping instance refuses those that wait and those that would have to, and lets others pass", async t => {
    const { gate, room } = createGate();
    const waiting = gate.enter(createRequest());
    gate.close();
    const refusals = [await waiting, await gate.enter(createRequest())];
    t.deepEqual(refusals.map(end => "refusal" in end ? end.refusal.reason : ""), ["leaving", "leaving"]);
    room.free = 1;
    t.false("refusal" in await gate.enter(createRequest()));
});
