import { MemoryNetwork } from "@ospreyreel/peer/fixtures";
import { startEtcdStandIn } from "@ospreyreel/stand-ins";
import test from "ava";
import { createIntent, readHead, startLedger, waitFor } from "./fixtures.js";
import { getFree } from "./head-math.js";

test("after the window, a dead instance's call to a plain service is reported as unproved and leaves the record", async t => {
    const ends: (() => Promise<void>)[] = [];
    const kv = await startEtcdStandIn({});
    t.teardown(async () => {
        await Promise.all(ends.map(end => end()));
        await kv.close();
    });
    const network = new MemoryNetwork();
    const base = { kv, network, billWindowS: 1, teardown: (end: () => Promise<void>) => void ends.push(end) };
    const a = await startLedger({ ...base, instance: "a" });
    const b = await startLedger({ ...base, instance: "b" });
    await waitFor(() => a.ledger.getDump().copyHolder === b.hub.self().incarnation);
    const reservation = await a.ledger.reserve("b", 300);
    await a.ledger.acknowledge(reservation, { ...createIntent("call"), targetKind: "service" });
    network.disconnect(a.hub);
    await waitFor(() => b.counters.get("incarnations_closed") === 1);
    await waitFor(async () => Object.keys((await readHead(b.kv))?.sealed ?? {}).length === 0);
    const head = await readHead(b.kv);
    t.is(head === undefined ? undefined : getFree(head, "b"), 700);
    const dump = await b.ledger.readDump("b");
    t.like(dump.budgets["b"], { spent: 300, free: 700, granted: 0, sealed: 0, unproved: 300 });
    t.is(b.ledger.findSealed("b", "team", "call"), undefined);
});
