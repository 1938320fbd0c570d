import { MemoryKv } from "@ospreyreel/kv/fixtures";
import type { PartDecision } from "@ospreyreel/types";
import test from "ava";
import { MemoryLog } from "../fixtures/memory-log.js";
import { DecisionStore } from "./decision-store.js";

const decision: PartDecision = {
    part: "ab12",
    isCleared: false,
    msAgo: 0,
    leftMs: 60_000,
    strikes: 2,
    sinceMsAgo: 500,
    crashes: ["t@1"],
    followers: 0,
};

const createStore = (startUnixMs = 1_000_000, wait: () => Promise<void> = () => Promise.resolve()) => {
    const kv = new MemoryKv();
    const log = new MemoryLog();
    const clock = { unixMs: startUnixMs };
    const store = new DecisionStore({ kv, log, unixMs: () => clock.unixMs, wait });
    return { kv, log, clock, store };
};

test("a quarantine outlives all instances, for the rest of its time", async t => {
    const { store, clock } = createStore();
    await store.save(decision);
    clock.unixMs += 20_000;
    const [read, ...others] = await store.load();
    t.deepEqual(others, []);
    t.like(read, { part: "ab12", isCleared: false, leftMs: 40_000, strikes: 2 });
});

test("a quarantine whose writer's clock was ahead does not last longer than decided", async t => {
    const { store, clock } = createStore();
    await store.save(decision);
    clock.unixMs -= 2_400_000;
    t.is((await store.load())[0]?.leftMs, 60_000);
});

test("ended, cleared and unreadable entries are not read, and ended ones are removed", async t => {
    const { kv, store, clock } = createStore();
    await store.save(decision);
    await store.save({ ...decision, part: "cd34" });
    await store.save({ ...decision, part: "cd34", isCleared: true });
    await kv.txn({ compares: [], puts: [{ key: "ospreyreel/parts/x", value: Buffer.from("{") }] });
    clock.unixMs += 61_000;
    t.deepEqual(await store.load(), []);
    t.deepEqual(await kv.range("ospreyreel/parts/"), []);
});

test("a write is repeated while the KV service is unavailable, and given up with a log line", async t => {
    const { kv, log, store } = createStore();
    let calls = 0;
    kv.pickOutcome = () => {
        calls += 1;
        return calls < 4 ? "refused" : "ok";
    };
    await store.save(decision);
    t.is((await store.load()).length, 1);
    kv.pickOutcome = () => "refused";
    await store.save(decision);
    t.like(log.lines.at(-1), { event: "quarantine not written" });
});

test("a quarantine that could not be written is not written after the part was cleared", async t => {
    let isFirstWait = true;
    const { kv, store } = createStore(undefined, async () => {
        if (isFirstWait) {
            isFirstWait = false;
            kv.pickOutcome = () => "ok";
            await store.save({ ...decision, isCleared: true });
        }
    });
    kv.pickOutcome = () => "refused";
    await store.save(decision);
    t.deepEqual(await store.load(), []);
});
