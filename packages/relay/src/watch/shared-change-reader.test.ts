import { type KvEvent, KvHealth, watchByPolling } from "@ospreyreel/kv";
import { type MemoryHub, MemoryNetwork } from "@ospreyreel/peer/fixtures";
import test, { type ExecutionContext } from "ava";
import { createHash } from "node:crypto";
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
    readonly freshness: ViewFreshness;
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
        const freshness = new ViewFreshness({ log: new MemoryLog() });
        const reader = new SharedChangeReader({
            own: service.createReader(hub.self().instance),
            hub,
            sources,
            health: new KvHealth(),
            freshness,
            log: new MemoryLog(),
            isIrrelevantUpdate: (before, after) =>
                String(Buffer.from(before.value)).split("-")[0] === String(Buffer.from(after.value)).split("-")[0],
            getPauseMs: () => 50,
        });
        reader.serve();
        void watchByPolling({ reader, prefix: PREFIX, closed: closed.signal }).observe(event => apply(values, event));
        return { hub, values, freshness, isSource: () => sources.choose() === undefined };
    });
    const awaitAll = async (
        isDone: (follower: Follower) => boolean,
        among = followers,
        withinMs = 2 * MAX_PROPAGATION_MS,
    ): Promise<number> => {
        const startedAtMs = performance.now();
        while (!among.every(isDone) && performance.now() - startedAtMs < withinMs) {
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
    // A request that a source held until it knew that it is disconnected is no late response.
    t.false(others.some(({ freshness }) => freshness.isInputDelayed));
    service.cut.clear();
    t.true(await awaitAll(({ values }) => values.has("targets/b"), sources) < MAX_PROPAGATION_MS);
});

test("instances whose sources are disconnected from the service do not overwhelm it, and still learn of changes in time", async t => {
    const { service, followers, awaitAll } = createFleet(t);
    await awaitAll(({ values }) => values.has("targets/a"));
    const sources = followers.filter(({ isSource }) => isSource());
    const others = followers.filter(follower => !sources.includes(follower));
    sources.forEach(({ hub }) => service.cut.add(hub.self().instance));
    service.put("targets/b", "ready-1");
    await awaitAll(({ values }) => values.has("targets/b"), others);
    service.calls.clear();
    await sleep(2_000);
    const calls = others.map(({ hub }) => service.calls.get(hub.self().instance) ?? 0);
    t.true(calls.every(count => count <= 3), `${calls.join(" ")} calls in two seconds`);
    service.put("targets/c", "ready-1");
    t.true(await awaitAll(({ values }) => values.has("targets/c"), others) < MAX_PROPAGATION_MS);
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

/** Delay of all responses to one instance, in milliseconds. */
const INPUT_DELAY_MS = 2_400;

/** A response may be on its way while the change is made, and the next one takes as long, in milliseconds. */
const MAX_DELAYED_PROPAGATION_MS = 2 * INPUT_DELAY_MS + MAX_PROPAGATION_MS;

test("an instance whose responses arrive late still learns of changes", async t => {
    const { service, followers, awaitAll } = createFleet(t);
    await awaitAll(({ values }) => values.has("targets/a"));
    const slow = followers.filter(({ isSource }) => !isSource()).slice(0, 1);
    slow.forEach(({ hub }) => {
        hub.input.delayMs = INPUT_DELAY_MS;
        service.cut.add(hub.self().instance);
    });
    service.put("targets/a", "leaving-1");
    const tookMs = await awaitAll(
        ({ values }) => values.get("targets/a") === "leaving-1",
        slow,
        2 * MAX_DELAYED_PROPAGATION_MS,
    );
    t.true(tookMs < MAX_DELAYED_PROPAGATION_MS);
});

/** Time from which nothing may be decided by the state before a change, in milliseconds. */
const MAX_CHANGE_AGE_MS = 3_000;

test("an instance whose responses arrive late knows that its view is outdated", async t => {
    const { service, followers, awaitAll } = createFleet(t);
    await awaitAll(({ values }) => values.has("targets/a"));
    const slow = followers.find(({ isSource }) => !isSource());
    if (slow === undefined) {
        throw new Error("all instances are sources");
    }
    slow.hub.input.delayMs = INPUT_DELAY_MS;
    service.cut.add(slow.hub.self().instance);
    // A response without the change is on its way when the change is made.
    await sleep(INPUT_DELAY_MS / 2);
    service.put("targets/a", "leaving-1");
    await sleep(MAX_CHANGE_AGE_MS);
    let checks = 0;
    for (; slow.values.get("targets/a") !== "leaving-1"; checks += 1) {
        t.true(slow.freshness.isOutdated);
        await sleep(20);
    }
    t.true(checks > 0);
});

/** What a link of 7 Mbit/s carries in a millisecond, in bytes. */
const SLOW_LINK_BYTES_PER_MS = 875;

const ROUTES = 4_000;

const createRoutesText = (): string =>
    JSON.stringify(Array.from({ length: ROUTES }, (_, at) => ({
        name: `route-${at}`,
        host: `${createHash("sha256").update(String(at)).digest("hex").slice(0, 10)}.example`,
        prefix: `/path-${at}/`,
        service: "service-1",
        kind: "non_idempotent",
        timeoutMs: 4_000,
        targetLatencyMs: 400,
        maxAttempts: 2,
        priority: 0,
        sticky: true,
        resumable: true,
        gapAimMs: 300,
    })));

/** Share of the time limit that a large value may fill a slow link with, so that callers' requests pass as well. */
const MAX_LINK_SHARE = 0.25;

test("a large value leaves most of a slow link to callers", async t => {
    const { service, followers, awaitAll } = createFleet(t);
    await awaitAll(({ values }) => values.has("targets/a"));
    const slow = followers.filter(({ isSource }) => !isSource());
    slow.forEach(({ hub }) => {
        hub.input.bytesPerMs = SLOW_LINK_BYTES_PER_MS;
    });
    const text = createRoutesText();
    service.put("targets/large", text);
    await awaitAll(({ values }) => values.get("targets/large") === text, slow);
    const maxBytes = MAX_LINK_SHARE * MAX_PROPAGATION_MS * SLOW_LINK_BYTES_PER_MS;
    slow.forEach(({ hub }) => t.true(hub.input.deliveredBytes < maxBytes));
});

test("a large value reaches an instance with a slow link in time", async t => {
    const { service, followers, awaitAll } = createFleet(t);
    await awaitAll(({ values }) => values.has("targets/a"));
    const slow = followers.filter(({ isSource }) => !isSource());
    slow.forEach(({ hub }) => {
        hub.input.bytesPerMs = SLOW_LINK_BYTES_PER_MS;
        service.cut.add(hub.self().instance);
    });
    const text = createRoutesText();
    t.true(text.length > 900_000);
    service.put("targets/large", text);
    t.true(await awaitAll(({ values }) => values.get("targets/large") === text, slow) < MAX_PROPAGATION_MS);
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
