import { MemoryNetwork } from "@ospreyreel/peer/fixtures";
import { startEtcdStandIn } from "@ospreyreel/stand-ins";
import test, { registerCompletionHandler } from "ava";
import { startLedger, waitFor } from "./fixtures.js";

// The timer of the flush interval would otherwise keep the process alive for an hour.
registerCompletionHandler(() => process.exit());

const NEVER_MS = 3_600_000;

test("an instance that started alone gets a copy holder as soon as it knows a peer", async t => {
    const kv = await startEtcdStandIn({});
    const opts = { kv, network: new MemoryNetwork(), teardown: (end: () => Promise<void>) => t.teardown(end) };
    t.teardown(() => kv.close());
    const a = await startLedger({ ...opts, instance: "a", flushIntervalMs: NEVER_MS });
    const b = await startLedger({ ...opts, instance: "b" });
    t.is(a.ledger.getDump().copyHolder, undefined);
    // Announces itself to the peers, as a joining instance does.
    b.hub.updateSelf({});
    await waitFor(() => a.ledger.getDump().copyHolder === b.hub.self().incarnation);
    t.pass();
});
