import { type EtcdStandIn, startEtcdStandIn } from "@ospreyreel/stand-ins";
import { Counters } from "@ospreyreel/telemetry";
import test, { type ExecutionContext } from "ava";
import { EventEmitter, once } from "node:events";
import { setImmediate } from "node:timers/promises";
import { EtcdKvClient } from "./etcd-kv-client.js";
import type { KvEvent } from "./kv-event.js";

interface WatchFixture {
    readonly standIn: EtcdStandIn;
    readonly kv: EtcdKvClient;
    readonly counters: Counters;
    readonly seen: readonly string[];
    /** Waits until `count` events were received. */
    readonly waitFor: (count: number) => Promise<void>;
    readonly unsubscribe: () => void;
}

const describe = (event: KvEvent): string => {
    switch (event.kind) {
        case "put":
            return `put ${event.entry.key}=${new TextDecoder().decode(event.entry.value)}`;
        case "delete":
            return `delete ${event.key}`;
        default:
            return event.kind;
    }
};

const startWatchFixture = async (t: ExecutionContext, watchIdleTimeoutMs?: number): Promise<WatchFixture> => {
    const standIn = await startEtcdStandIn();
    const counters = new Counters();
    const kv = new EtcdKvClient({
        endpoints: [standIn.url],
        counters,
        deadlineMs: 30_000,
        ...(watchIdleTimeoutMs === undefined ? {} : { watchIdleTimeoutMs }),
    });
    t.teardown(() => kv.close().then(() => standIn.close()));
    const seen: string[] = [];
    const emitter = new EventEmitter();
    const subscription = kv.watch("/w/").map(describe).subscribe({
        next: line => {
            seen.push(line);
            emitter.emit("event");
        },
        error: err => t.fail(err.message),
        complete: () => undefined,
    });
    const waitFor = async (count: number): Promise<void> => {
        while (seen.length < count) {
            await once(emitter, "event");
        }
    };
    return { standIn, kv, counters, seen, waitFor, unsubscribe: () => subscription.unsubscribe() };
};

const put = (kv: EtcdKvClient, key: string, value: string): ReturnType<EtcdKvClient["txn"]> =>
    kv.txn({ compares: [], puts: [{ key, value: new TextEncoder().encode(value) }] });

test("a watch begins with a resync and reports changes under its prefix in order", async t => {
    const { kv, seen, waitFor, counters } = await startWatchFixture(t);
    await waitFor(1);
    await put(kv, "/w/a", "1");
    await put(kv, "/x/a", "not under the prefix");
    await put(kv, "/w/a", "2");
    await kv.txn({ compares: [], deletes: [{ key: "/w/a" }] });
    await waitFor(4);
    t.deepEqual(seen, ["resync", "put /w/a=1", "put /w/a=2", "delete /w/a"]);
    t.is(counters.get("kv_watches"), 1);
});

test("a disconnected watch reports a resync and continues", async t => {
    const { standIn, kv, seen, waitFor } = await startWatchFixture(t);
    await waitFor(1);
    await standIn.setFaults({ down: true });
    await standIn.setFaults({ down: false });
    await waitFor(2);
    await put(kv, "/w/a", "1");
    await waitFor(3);
    t.deepEqual(seen, ["resync", "resync", "put /w/a=1"]);
});

test("a watch without messages for too long is reopened", async t => {
    const { standIn, kv, seen, waitFor } = await startWatchFixture(t, 300);
    await waitFor(1);
    await standIn.setFaults({ dropWatchEvents: true });
    await put(kv, "/w/a", "missed");
    await waitFor(2);
    t.deepEqual(seen.slice(0, 2), ["resync", "resync"]);
});

test("an unsubscribed watch closes its connection", async t => {
    const { standIn, seen, waitFor, unsubscribe, kv } = await startWatchFixture(t);
    await waitFor(1);
    unsubscribe();
    while (standIn.openWatches > 0) {
        await setImmediate();
    }
    await put(kv, "/w/a", "1");
    t.deepEqual(seen, ["resync"]);
});
