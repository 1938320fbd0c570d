import { Counters } from "@ospreyreel/telemetry";
import test from "ava";
import fc from "fast-check";
import { AffinityChoice } from "../choice/affinity-choice.js";
import { RandomSource } from "../choice/random-source.js";
import { createDocument, createTarget } from "../fixtures/create-document.js";
import { ManualClock } from "../fixtures/manual-clock.js";
import type { TargetChange } from "./target-change.js";
import { TargetPool, type TargetPoolOptions } from "./target-pool.js";

const createPool = (opts: Partial<TargetPoolOptions> = {}, names = ["ahd-1", "vad-1", "rjt-1"]): TargetPool => {
    const policy = new AffinityChoice(new RandomSource(1));
    const pool = new TargetPool({ policy, counters: new Counters(), maxLoadShare: 1, ...opts });
    pool.setDocument(createDocument(names.map(name => createTarget(name))));
    return pool;
};

const acquireNames = (pool: TargetPool, count: number): readonly (string | undefined)[] =>
    Array.from({ length: count }, () => pool.acquire({ offering: "draft" })?.target.name);

test("no target gets more requests than its capacity, and a release makes room only once", t => {
    const pool = createPool();
    const acquired = pool.acquire({ offering: "draft" });
    const names = acquireNames(pool, 6);
    t.is(names.filter(name => name !== undefined).length, 5);
    t.is(pool.getOfferingState({ offering: "draft" }), "busy");
    acquired?.release("served");
    acquired?.release("served");
    t.is(acquireNames(pool, 2).filter(name => name !== undefined).length, 1);
});

test("a target that the list or a peer reports as leaving gets no new requests", t => {
    const clock = new ManualClock();
    const pool = createPool({ now: clock.now, leavingMarkMs: 1000 });
    pool.setListedLeaving(["ahd-1"]);
    pool.markLeaving(["vad-1"]);
    t.deepEqual(acquireNames(pool, 3), ["rjt-1", "rjt-1", undefined]);
    pool.setListedLeaving([]);
    t.deepEqual(new Set(acquireNames(pool, 3)), new Set(["ahd-1", undefined]));
    clock.advance(1000);
    t.is(pool.acquire({ offering: "draft" })?.target.name, "vad-1");
});

test("an ejected target gets no requests while another one is healthy", t => {
    const clock = new ManualClock();
    const pool = createPool({ now: clock.now, health: { maxFailures: 1, ejectionMs: 1000 } }, ["ahd-1", "vad-1"]);
    pool.acquire({ offering: "draft", exclude: new Set(["vad-1"]) })?.release("failed");
    t.deepEqual(acquireNames(pool, 3), ["vad-1", "vad-1", undefined]);
    clock.advance(1000);
    t.is(pool.acquire({ offering: "draft" })?.target.name, "ahd-1");
});

test("a target is tried where all targets are ejected", t => {
    const pool = createPool({ health: { maxFailures: 1 } }, ["ahd-1"]);
    pool.acquire({ offering: "draft" })?.release("failed");
    t.is(pool.acquire({ offering: "draft" })?.target.name, "ahd-1");
});

test("the load of other instances counts while its report is recent", t => {
    const clock = new ManualClock();
    const pool = createPool({ now: clock.now, maxReportAgeMs: 100 }, ["ahd-1"]);
    pool.acquire({ offering: "draft" });
    pool.setLoadReport("ahd-1", { running: 2, queued: 0, capacity: 2 });
    t.is(pool.acquire({ offering: "draft" }), undefined);
    clock.advance(101);
    t.not(pool.acquire({ offering: "draft" }), undefined);
});

test("a prompt goes where its prefix was sent, until the engine evicts it", t => {
    const pool = createPool();
    const first = pool.acquire({ offering: "draft", prefixHash: "p" });
    first?.release("served");
    const name = first?.target.name ?? "";
    for (let i = 0; i < 10; i += 1) {
        const next = pool.acquire({ offering: "draft", prefixHash: "p" });
        next?.release("served");
        t.is(next?.target.name, name);
    }
    pool.recordCacheEvent(name, "evicted", "p");
    const other = ["ahd-1", "vad-1", "rjt-1"].find(target => target !== name) ?? "";
    pool.recordCacheEvent(other, "stored", "p");
    t.is(pool.acquire({ offering: "draft", prefixHash: "p" })?.target.name, other);
});

test("a change of the document keeps the counts of remaining targets", t => {
    const pool = createPool({}, ["ahd-1"]);
    acquireNames(pool, 2);
    pool.setDocument(createDocument([createTarget("ahd-1"), createTarget("vad-1")]));
    t.deepEqual(acquireNames(pool, 3), ["vad-1", "vad-1", undefined]);
    pool.setDocument(createDocument([]));
    t.is(pool.getOfferingState({ offering: "draft" }), "none");
});

test("changes report leaving targets and free places", async t => {
    const pool = createPool({}, ["ahd-1"]);
    const seen: TargetChange[] = [];
    const watching = pool.changes().take(2).observe(change => {
        seen.push(change);
    });
    pool.acquire({ offering: "draft" })?.release("served");
    pool.markLeaving(["ahd-1"]);
    await watching;
    t.deepEqual(seen, [{ kind: "free", target: "ahd-1" }, { kind: "leaving", target: "ahd-1" }]);
});

test("in any order of calls no target exceeds its limit or runs while leaving", t => {
    const anyStep = fc.oneof(
        fc.constant({ kind: "acquire" as const, index: 0 }),
        fc.record({ kind: fc.constant("release" as const), index: fc.nat(5) }),
        fc.record({ kind: fc.constant("leave" as const), index: fc.nat(2) }),
    );
    fc.assert(fc.property(fc.array(anyStep, { maxLength: 40 }), steps => {
        const pool = createPool();
        const names = ["ahd-1", "vad-1", "rjt-1"];
        const held: NonNullable<ReturnType<TargetPool["acquire"]>>[] = [];
        const left = new Set<string>();
        return steps.every(({ kind, index }) => {
            if (kind === "release") {
                held.splice(index, 1).forEach(acquired => acquired.release("served"));
            }
            if (kind === "leave") {
                left.add(names[index] ?? "");
                pool.markLeaving([...left]);
            }
            const acquired = kind === "acquire" ? pool.acquire({ offering: "draft" }) : undefined;
            if (acquired !== undefined) {
                held.push(acquired);
            }
            const count = held.filter(other => other.target.name === acquired?.target.name).length;
            return acquired === undefined || (count <= 2 && !left.has(acquired.target.name));
        });
    }));
    t.pass();
});
