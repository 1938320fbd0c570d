import { MemoryNetwork } from "@ospreyreel/peer/fixtures";
import { startEtcdStandIn } from "@ospreyreel/stand-ins";
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { startLedger, waitFor } from "./fixtures.js";
import { HangingKv } from "./hanging-kv.js";

/** Runs of background work that start while the first registration is still in flight. */
const RUNS_DURING_REGISTRATION = 40;
const FLUSH_INTERVAL_MS = 2;

test("an instance whose registration takes many runs of background work registers once and then reserves", async t => {
    const ends: (() => Promise<void>)[] = [];
    const kv = await startEtcdStandIn({});
    let hanging: HangingKv | undefined;
    t.teardown(async () => {
        hanging?.resume();
        await Promise.all(ends.map(end => end()));
        await kv.close();
    });
    const starting = startLedger({
        kv,
        network: new MemoryNetwork(),
        instance: "a",
        flushIntervalMs: FLUSH_INTERVAL_MS,
        wrapKv: inner => {
            hanging = new HangingKv(inner);
            hanging.hang();
            return hanging;
        },
        teardown: end => void ends.push(end),
    });
    await sleep(RUNS_DURING_REGISTRATION * FLUSH_INTERVAL_MS);
    hanging?.resume();
    const { ledger, counters, kv: client } = await starting;
    await t.notThrowsAsync(ledger.reserve("b", 1));
    // If the record were still rewritten, each draw that compares it would be refused.
    const reads = counters.get("kv_reads") + 3;
    await waitFor(async () => {
        await ledger.readDump("b");
        return counters.get("kv_reads") >= reads;
    });
    t.is(counters.get("copy_holder_changes"), 1);
    t.is((await client.range("/test/incarnations/")).length, 1);
});
