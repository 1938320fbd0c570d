import { hasResult } from "@ospreyreel/errors";
import { Counters } from "@ospreyreel/telemetry";
import test, { type ExecutionContext } from "ava";
import { LeastInFlight } from "../choice/least-in-flight.js";
import { RandomSource } from "../choice/random-source.js";
import { createDocument, createTarget } from "../fixtures/create-document.js";
import { ManualClock } from "../fixtures/manual-clock.js";
import { TargetPool } from "../pool/target-pool.js";
import { AdmissionGate, type AdmissionRequest } from "./admission-gate.js";
import { DeadlineAdmission } from "./deadline-admission.js";

interface Setup {
    readonly pool: TargetPool;
    readonly gate: AdmissionGate;
    readonly clock: ManualClock;
}

const REQUEST: AdmissionRequest = { offering: "draft", priority: 5, timeLeftMs: 60_000 };

const setUp = (t: ExecutionContext): Setup => {
    const counters = new Counters();
    const clock = new ManualClock();
    const policy = new LeastInFlight(new RandomSource(1));
    const pool = new TargetPool({ policy, counters, maxLoadShare: 1, now: clock.now });
    pool.setDocument(createDocument([createTarget("ahd-1", { capacity: 1 }), createTarget("vad-1", { capacity: 1 })]));
    const gate = new AdmissionGate({ pool, counters, policy: new DeadlineAdmission(), now: clock.now });
    const stopping = new AbortController();
    const running = gate.run(stopping.signal);
    t.teardown(async () => {
        stopping.abort();
        await running;
    });
    return { pool, gate, clock };
};

test("a request waits while all targets are full and is admitted when one is free", async t => {
    const { gate } = setUp(t);
    const [first] = await Promise.all([gate.admit(REQUEST), gate.admit(REQUEST)]);
    const waiting = gate.admit(REQUEST);
    t.is(gate.getQueueLength("draft"), 1);
    first.release("served");
    t.is((await waiting).target.name, first.target.name);
});

test("waiting requests fail immediately when their last target leaves", async t => {
    const { gate, pool } = setUp(t);
    await Promise.all([gate.admit(REQUEST), gate.admit(REQUEST)]);
    const waiting = gate.admit(REQUEST);
    pool.markLeaving(["ahd-1", "vad-1"]);
    t.true(hasResult(await t.throwsAsync(waiting), "noTarget"));
    t.true(hasResult(await t.throwsAsync(gate.admit(REQUEST)), "noTarget"));
});

test("requests that a slow target's measured rate cannot serve in time are rejected", async t => {
    const { gate, clock } = setUp(t);
    const [first] = await Promise.all([gate.admit(REQUEST), gate.admit(REQUEST)]);
    clock.advance(10_000);
    first.release("served");
    await gate.admit(REQUEST);
    // Two in flight at ten seconds each: one place every five seconds.
    const err = await t.throwsAsync(gate.admit({ ...REQUEST, timeLeftMs: 4000 }));
    t.true(hasResult(err, "overloaded"));
});

test("a free place goes to the first request by rank over all offerings that share the target", async t => {
    const { gate, pool, clock } = setUp(t);
    const document = createDocument([createTarget("ahd-1", { capacity: 1 })]);
    const urgent = document.offerings.map(offering => ({ ...offering, name: "urgent" }));
    pool.setDocument({ ...document, offerings: [...document.offerings, ...urgent] });
    const first = await gate.admit(REQUEST);
    const order: string[] = [];
    const wait = async (offering: string, priority: number): Promise<void> => {
        const acquired = await gate.admit({ ...REQUEST, offering, priority });
        order.push(offering);
        acquired.release("served");
    };
    const waiting = [wait("draft", 8), wait("urgent", 1)];
    clock.advance(1_000);
    first.release("served");
    await Promise.all(waiting);
    t.deepEqual(order, ["urgent", "draft"]);
});

test("requests of other offerings on the same targets count as requests ahead", async t => {
    const { gate, pool, clock } = setUp(t);
    const document = createDocument([createTarget("ahd-1", { capacity: 1 })]);
    const bulk = document.offerings.map(offering => ({ ...offering, name: "bulk" }));
    pool.setDocument({ ...document, offerings: [...document.offerings, ...bulk] });
    const first = await gate.admit(REQUEST);
    clock.advance(1_000);
    first.release("served");
    const second = await gate.admit(REQUEST);
    const ahead = [gate.admit(REQUEST), gate.admit(REQUEST)];
    // One place each second and two requests ahead, so its expected wait is three seconds.
    const err = await t.throwsAsync(gate.admit({ ...REQUEST, offering: "bulk", priority: 9, timeLeftMs: 5_000 }));
    t.true(hasResult(err, "overloaded"));
    second.release("served");
    (await ahead[0])?.release("served");
    (await ahead[1])?.release("served");
});
