import { EtcdKvClient } from "@ospreyreel/kv";
import { startEtcdStandIn } from "@ospreyreel/stand-ins";
import { Counters } from "@ospreyreel/telemetry";
import type { Intent } from "@ospreyreel/types";
import test, { type ExecutionContext } from "ava";
import { encodeRecord } from "./codec.js";
import { createIntent, MapLookup } from "./fixtures.js";
import { getBudget, getFree } from "./head-math.js";
import { emptyHead, type HeadRecord, type SealedRecord } from "./head-record.js";
import { type Claim, getJournalKey } from "./journal-entry.js";
import { LedgerKeys } from "./ledger-keys.js";
import { SealedResolver } from "./sealed-resolver.js";
import { ShardStore } from "./shard-store.js";

const WINDOW_S = 600;
const WINDOW_MS = WINDOW_S * 1_000;
const SEALED_AT_MS = 1_000_000;

const createSealed = (id: string, change: Partial<Intent> = {}, sealedAtMs = SEALED_AT_MS): SealedRecord => ({
    intent: { ...createIntent(id), budget: "b", reserved: 60, ...change },
    closer: "closer",
    sealedAtMs,
});

const createHead = (sealed: readonly SealedRecord[]): HeadRecord => ({
    ...emptyHead,
    budgets: { b: { prepaid: 1_000, docRevision: 1, spent: 100 } },
    sealed: Object.fromEntries(sealed.map(record => [record.intent.id, record])),
});

interface Instance {
    readonly store: ShardStore;
    readonly resolver: SealedResolver;
    readonly lookup: MapLookup;
    readonly counters: Counters;
    /** Time at this instance, in milliseconds. */
    nowMs: number;
    /** Sets the time and runs the resolver once. */
    readonly turn: (nowMs: number) => Promise<void>;
}

interface Rig {
    readonly kv: Awaited<ReturnType<typeof startEtcdStandIn>>;
    readonly startInstance: () => Promise<Instance>;
}

/** Starts a key-value service with a shard of sealed intents, for instances that resolve them. */
const startRig = async (t: ExecutionContext, sealed: readonly SealedRecord[]): Promise<Rig> => {
    const kv = await startEtcdStandIn({});
    const keys = new LedgerKeys("/test", 1);
    const clients: EtcdKvClient[] = [];
    const createClient = (counters: Counters): EtcdKvClient => {
        const client = new EtcdKvClient({ endpoints: [kv.url], counters, deadlineMs: 10_000 });
        clients.push(client);
        return client;
    };
    t.teardown(async () => {
        await Promise.all(clients.map(client => client.close()));
        await kv.close();
    });
    const puts = [{ key: keys.head(0), value: encodeRecord(createHead(sealed)) }];
    await createClient(new Counters()).txn({ compares: [], puts });
    const startInstance = async (): Promise<Instance> => {
        const counters = new Counters();
        const lookup = new MapLookup();
        const now = (): number => instance.nowMs;
        const client = createClient(counters);
        const store = new ShardStore({ kv: client, keys, shard: 0, counters, billWindowS: WINDOW_S, now });
        const resolver = new SealedResolver({
            lookup,
            counters,
            shouldResolve: () => true,
            billWindowS: WINDOW_S,
            now,
        });
        const turn = async (nowMs: number): Promise<void> => {
            instance.nowMs = nowMs;
            await resolver.resolveShard(store);
        };
        const instance: Instance = { store, resolver, lookup, counters, nowMs: SEALED_AT_MS, turn };
        await store.refresh();
        return instance;
    };
    return { kv, startInstance };
};

const readHead = async (instance: Instance): Promise<HeadRecord> => (await instance.store.refresh()).head;

test("a call to a plain service counts as unproved once its key is forgotten, and its tokens stay spent", async t => {
    const rig = await startRig(t, [createSealed("call", { targetKind: "service" })]);
    const instance = await rig.startInstance();
    await instance.turn(SEALED_AT_MS + WINDOW_MS - 1);
    const before = await readHead(instance);
    t.deepEqual(Object.keys(before.sealed), ["call"]);
    t.is(getFree(before, "b"), 840);
    await instance.turn(SEALED_AT_MS + WINDOW_MS);
    const after = await readHead(instance);
    t.deepEqual(after.sealed, {});
    t.is(getFree(after, "b"), 840);
    t.like(getBudget(after, "b"), { spent: 160, unproved: 60 });
    t.is(instance.counters.get("sealed_unproved"), 1);
});

for (const state of ["unknown", "unreachable"] as const) {
    test(`a stream that its engine reports as ${state} counts as unproved after the window`, async t => {
        const rig = await startRig(t, [createSealed("stream")]);
        const instance = await rig.startInstance();
        instance.lookup.findings.set("stream", { state });
        await instance.turn(SEALED_AT_MS + WINDOW_MS - 1);
        t.is(Object.keys((await readHead(instance)).sealed).length, 1);
        await instance.turn(SEALED_AT_MS + WINDOW_MS);
        const head = await readHead(instance);
        t.deepEqual(head.sealed, {});
        t.like(getBudget(head, "b"), { spent: 160, unproved: 60 });
    });
}

test("a running stream stays sealed, and its window restarts with each report of its engine", async t => {
    const rig = await startRig(t, [createSealed("stream")]);
    const instance = await rig.startInstance();
    instance.lookup.findings.set("stream", { state: "running" });
    const answeredAtMs = SEALED_AT_MS + 2 * WINDOW_MS;
    await instance.turn(answeredAtMs);
    instance.lookup.findings.set("stream", { state: "unreachable" });
    await instance.turn(answeredAtMs + WINDOW_MS - 1);
    t.is(Object.keys((await readHead(instance)).sealed).length, 1);
    await instance.turn(answeredAtMs + WINDOW_MS);
    t.deepEqual((await readHead(instance)).sealed, {});
});

test("a stream that ended is settled with its bill, however late, and does not count as unproved", async t => {
    const rig = await startRig(t, [createSealed("stream")]);
    const instance = await rig.startInstance();
    instance.lookup.findings.set("stream", { state: "ended", promptTokens: 10, completionTokens: 20 });
    await instance.turn(SEALED_AT_MS + 2 * WINDOW_MS);
    const view = await instance.store.refresh();
    t.deepEqual(view.head.sealed, {});
    t.deepEqual(getBudget(view.head, "b"), { prepaid: 1_000, docRevision: 1, spent: 130 });
    t.true(view.bills.has(getJournalKey("team", "stream")));
});

test("two instances that abandon the same intents concurrently count them once, even if replies are lost", async t => {
    const ids = Array.from({ length: 5 }, (_, i) => `call${i}`);
    // Each seed loses different replies.
    for (const seed of [1, 2, 3, 4]) {
        const rig = await startRig(t, ids.map(id => createSealed(id, { targetKind: "service" })));
        const instances = [await rig.startInstance(), await rig.startInstance()];
        await rig.kv.setFaults({ loseReplies: 0.4, seed });
        const turn = (): Promise<unknown> =>
            Promise.allSettled(instances.map(instance => instance.turn(SEALED_AT_MS + WINDOW_MS)));
        await turn();
        await rig.kv.setFaults({ loseReplies: 0 });
        // Failed writes are tried again in the next run, as by the background task.
        await turn();
        for (const instance of instances) {
            const head = await readHead(instance);
            t.deepEqual(head.sealed, {});
            t.like(getBudget(head, "b"), { spent: 400, unproved: 300 });
            t.is(getFree(head, "b"), 600);
        }
    }
});

test("a record of an earlier version without a sealing time counts as sealed now", async t => {
    const { sealedAtMs, ...old } = createSealed("call", { targetKind: "service" });
    const rig = await startRig(t, [old]);
    const firstMs = (sealedAtMs ?? 0) + 5 * WINDOW_MS;
    await (await rig.startInstance()).turn(firstMs);
    // Another instance uses the time that the first one wrote.
    const other = await rig.startInstance();
    t.is((await readHead(other)).sealed["call"]?.sealedAtMs, firstMs);
    await other.turn(firstMs + WINDOW_MS - 1);
    t.is(Object.keys((await readHead(other)).sealed).length, 1);
    await other.turn(firstMs + WINDOW_MS);
    t.deepEqual((await readHead(other)).sealed, {});
});

test("abandoning an intent keeps the claims younger than the window, its own included", async t => {
    const rig = await startRig(t, [createSealed("call", { targetKind: "service" })]);
    const instance = await rig.startInstance();
    const claim = async (requestKey: string, nowMs: number): Promise<void> => {
        instance.nowMs = nowMs;
        const written: Claim = { team: "team", requestKey, incarnation: "x", intentId: requestKey };
        await instance.store.commit(({ head }) => ({ head, entries: [{ kind: "claim", claim: written }] }));
    };
    await claim("call", SEALED_AT_MS);
    await claim("young", SEALED_AT_MS + WINDOW_MS / 2);
    await instance.turn(SEALED_AT_MS + WINDOW_MS);
    const view = await instance.store.refresh();
    t.deepEqual(view.head.sealed, {});
    t.true(view.claims.has(getJournalKey("team", "call")));
    t.true(view.claims.has(getJournalKey("team", "young")));
});
