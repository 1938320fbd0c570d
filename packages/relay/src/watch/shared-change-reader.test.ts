import { type KvEvent, KvHealth, watchByPolling } from "@ospreyreel/kv";
import { type MemoryHub, MemoryNetwork } from "@ospreyreel/peer/fixtures";
import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { MemoryChanges } from "../fixtures/memory-changes.js";
import { MemoryLog } from "../fixtures/memory-log.js";
import { SharedChangeReader } from "./shared-change-reader.js";
import { ViewFreshness } from "./view-freshness.js";
import { WatchSources } from "./watch-sources.js";

const FLEET_SIZE = 20;
const PREFIX = "targets/";

/** A change must be active within two seconds, in milliseconds; the remainder is left for the request itself. */
const MAX_PROPAGATION_MS = 1_800;

interface Follower {
    readonly hub: MemoryHub;
    readonly values: Map<string, string>;
    readonly isSource: () => boolean;
}

const apply = (values: Map<string, string>, event: KvEvent): void => {
    const put = (key: string, value: Uint8Array): unknown => values.set(key, Buffer.from(value).toString());
    switch (event.kind) {
        case "put":
            put(event.entry.key, event.entry.value);
            break;
        case "delete":
            values.delete(event.key);
            break;
        case "resync":
            values.clear();
            event.entries?.forEach(entry => put(entry.key, entry.value));
    }
};

/** A fleet that watches one prefix; a change after the dash of a value is irrelevant. */
const createFleet = (t: ExecutionContext) => {
    const network = new MemoryNetwork();
    const service = new MemoryChanges();
    const closed = new AbortController();
    t.teardown(() => closed.abort());
    service.put("targets/a", "ready-1");
    const hubs = Array.from({ length: FLEET_SIZE }, (_, at) => network.createHub(`i${at}`, `zone-${at % 3}`));
    const followers = hubs.map((hub): Follower => {
        const values = new Map<string, string>();
        const sources = new WatchSources({ hub });
        const reader = new SharedChangeReader({
            own: service.createReader(hub.self().instance),
            hub,
            sources,
            health: new KvHealth(),
            freshness: new ViewFreshness({ log: new MemoryLog() }),
            log: new MemoryLog(),
            isIrrelevantUpdate: (before, after) =>
                String(Buffer.from(before.value)).split("-")[0] === String(Buffer.from(after.value)).split("-")[0],
            getPauseMs: () => 50,
        });
        reader.serve();
        void watchByPolling({ reader, prefix: PREFIX, closed: closed.signal }).observe(event => apply(values, event));
        return { hub, values, isSource: () => sources.choose() === undefined };
    });
    const awaitAll = async (isDone: (follower: Follower) => boolean, among = followers): Promise<number> => {
        const startedAtMs = performance.now();
        while (!among.every(isDone) && performance.now() - startedAtMs < 2 * MAX_PROPAGATION_MS) {
            await sleep(10);
        }
        return performance.now() - startedAtMs;
    };
    return { network, service, followers, awaitAll };
};

test("a change reaches all instances though few read the service", async t => {
    const { service, followers, awaitAll } = createFleet(t);
    await awaitAll(({ values }) => values.has("targets/a"));
    service.calls.clear();
    service.put("targets/a", "leaving-1");
    t.true(await awaitAll(({ values }) => values.get("targets/a") === "leaving-1") < MAX_PROPAGATION_MS);
    service.remove("targets/a");
    t.true(await awaitAll(({ values }) => !values.has("targets/a")) < MAX_PROPAGATION_MS);
    const sources = followers.filter(({ isSource }) => isSource()).map(({ hub }) => hub.self().instance);
    t.is(sources.length, 3);
    t.deepEqual([...service.calls.keys()].toSorted(), sources.toSorted());
});

test("heartbeats are read by the sources and not passed on", async t => {
    const { service, followers, awaitAll } = createFleet(t);
    await awaitAll(({ values }) => values.has("targets/a"));
    service.put("targets/a", "ready-2");
    await sleep(600);
    t.true(followers.every(({ values }) => values.get("targets/a") === "ready-1"));
});

test("sources that are disconnected from the service are bypassed in time", async t => {
    const { service, followers, awaitAll } = createFleet(t);
    await awaitAll(({ values }) => values.has("targets/a"));
    const sources = followers.filter(({ isSource }) => isSource());
    sources.forEach(({ hub }) => service.cut.add(hub.self().instance));
    service.put("targets/b", "ready-1");
    const others = followers.filter(follower => !sources.includes(follower));
    t.true(await awaitAll(({ values }) => values.has("targets/b"), others) < MAX_PROPAGATION_MS);
    service.cut.clear();
    t.true(await awaitAll(({ values }) => values.has("targets/b"), sources) < MAX_PROPAGATION_MS);
});

test("sources that other instances cannot reach are bypassed in time", async t => {
    const { network, service, followers, awaitAll } = createFleet(t);
    await awaitAll(({ values }) => values.has("targets/a"));
    const sources = followers.filter(({ isSource }) => isSource());
    sources.forEach(({ hub }) => network.disconnect(hub));
    service.put("targets/a", "leaving-1");
    t.true(await awaitAll(({ values }) => values.get("targets/a") === "leaving-1") < MAX_PROPAGATION_MS);
});

test("an instance that is disconnected from the service gets changes from a source", async t => {
    const { service, followers, awaitAll } = createFleet(t);
    await awaitAll(({ values }) => values.has("targets/a"));
    const unconnected = followers.filter(({ isSource }) => !isSource());
    unconnected.forEach(({ hub }) => service.cut.add(hub.self().instance));
    service.put("targets/c", "ready-1");
    t.true(await awaitAll(({ values }) => values.has("targets/c"), unconnected) < MAX_PROPAGATION_MS);
});

test("a change is returned immediately, and the pause precedes the next read", async t => {
    const service = new MemoryChanges();
    const network = new MemoryNetwork();
    const hub = network.createHub("alone");
    const reader = new SharedChangeReader({
        own: service.createReader("alone"),
        hub,
        sources: new WatchSources({ hub }),
        health: new KvHealth(),
        freshness: new ViewFreshness({ log: new MemoryLog() }),
        log: new MemoryLog(),
        isIrrelevantUpdate: () => false,
        getPauseMs: () => 400,
    });
    const { at } = await reader.readAll(PREFIX);
    service.put("targets/a", "ready-1");
    const startedAtMs = performance.now();
    const first = await reader.readChanges(PREFIX, at, 1_000);
    t.true(performance.now() - startedAtMs < 200);
    service.put("targets/a", "leaving-1");
    await reader.readChanges(PREFIX, first?.at ?? at, 1_000);
    t.true(performance.now() - startedAtMs > 380);
});
