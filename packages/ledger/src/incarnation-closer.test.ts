import { EtcdKvClient } from "@ospreyreel/kv";
import { startEtcdStandIn } from "@ospreyreel/stand-ins";
import { Counters, createLog } from "@ospreyreel/telemetry";
import test, { type ExecutionContext } from "ava";
import { encodeRecord } from "./codec.js";
import { encodeCopyEntries } from "./copy-codec.js";
import { CopyStore } from "./copy-store.js";
import { createIntent } from "./fixtures.js";
import { getFree } from "./head-math.js";
import { emptyHead, type HeadRecord } from "./head-record.js";
import { IncarnationCloser } from "./incarnation-closer.js";
import type { IncarnationRecord } from "./incarnation-record.js";
import { LedgerKeys } from "./ledger-keys.js";
import { ShardStore } from "./shard-store.js";

const CLOSED_AT_MS = 5_000;

interface Rig {
    readonly writeCopyHolder: (copyHolder: string) => Promise<void>;
    readonly copies: CopyStore;
    readonly store: ShardStore;
    readonly closer: IncarnationCloser;
}

/** Starts a holder whose record names `old copy`, and a closer that has a copy with one running intent. */
const startRig = async (t: ExecutionContext): Promise<Rig> => {
    const standIn = await startEtcdStandIn();
    const counters = new Counters({});
    const kv = new EtcdKvClient({ endpoints: [standIn.url], counters });
    t.teardown(async () => {
        await kv.close();
        await standIn.close();
    });
    const keys = new LedgerKeys("/test", 1);
    const put = async (key: string, value: unknown): Promise<void> => {
        await kv.txn({ compares: [], puts: [{ key, value: encodeRecord(value) }] });
    };
    const writeCopyHolder = (copyHolder: string): Promise<void> => {
        const record: IncarnationRecord = { instance: "one", copyHolder, epoch: 1, state: "open" };
        return put(keys.incarnation("holder"), record);
    };
    const head: HeadRecord = {
        ...emptyHead,
        budgets: { b: { prepaid: 100, docRevision: 1, spent: 0 } },
        open: { holder: { finishSeq: 0, grants: { b: { granted: 100, settled: 0 } } } },
    };
    await put(keys.head(0), head);
    await writeCopyHolder("old copy");
    const copies = new CopyStore(() => 0);
    copies.open({
        holder: "holder",
        generation: 1,
        entries: encodeCopyEntries([{
            kind: "intent",
            intent: { ...createIntent("running"), budget: "b", reserved: 60 },
        }]),
    });
    const store = new ShardStore({ kv, keys, shard: 0, counters, billWindowS: 60 });
    const closer = new IncarnationCloser({
        kv,
        keys,
        copies,
        counters,
        getStore: () => store,
        log: createLog("test"),
        now: () => CLOSED_AT_MS,
    });
    return { writeCopyHolder, copies, store, closer };
};

test("a copy dropped as not the recorded one is not used for a close, even if a delayed write names it later", async t => {
    const { writeCopyHolder, copies, store, closer } = await startRig(t);
    t.is(await closer.close("holder", "new copy"), "not_mine");
    await writeCopyHolder("new copy");
    t.is(await closer.close("holder", "new copy"), "not_mine");
    t.deepEqual(copies.list(), []);
    const view = await store.refresh();
    t.is(view.head.open["holder"]?.grants["b"]?.granted, 100);
});

test("a closed incarnation's unfinished intents are sealed in full, with the time of the close", async t => {
    const { store, closer } = await startRig(t);
    t.is(await closer.close("holder", "old copy"), "closed");
    const { head } = await store.refresh();
    t.like(head.sealed["running"], { closer: "old copy", sealedAtMs: CLOSED_AT_MS });
    t.is(getFree(head, "b"), 40);
});
