import { hasResult } from "@ospreyreel/errors";
import { EtcdKvClient } from "@ospreyreel/kv";
import { startEtcdStandIn } from "@ospreyreel/stand-ins";
import { Counters } from "@ospreyreel/telemetry";
import test from "ava";
import { withGrant } from "./head-math.js";
import { ClosingGuard, IncarnationGuard } from "./incarnation-guard.js";
import { LedgerKeys } from "./ledger-keys.js";
import { ShardStore } from "./shard-store.js";

test("a write to a shard changes nothing after its incarnation is closed", async t => {
    const standIn = await startEtcdStandIn();
    const counters = new Counters();
    const kv = new EtcdKvClient({ endpoints: [standIn.url], counters });
    t.teardown(async () => {
        await kv.close();
        await standIn.close();
    });
    const keys = new LedgerKeys("/test", 1);
    const store = new ShardStore({ kv, keys, shard: 0, counters, billWindowS: 60 });
    const guard = new IncarnationGuard({ kv, keys, incarnation: "a" });
    await guard.write({ instance: "one", copyHolder: "b", epoch: 1, state: "open" });
    const draw = (granted: number) =>
        store.commit(({ head }) => ({
            head: withGrant(head, "a", "budget", { granted, settled: 0 }),
            entries: [],
        }), [guard]);
    await draw(10);
    // Marking the incarnation as closing does not change the shard's record, whose compare alone would allow the draw.
    t.true(await new ClosingGuard({ kv, keys, incarnation: "a" }).begin("b"));
    t.true(hasResult(await t.throwsAsync(draw(20)), "incarnationClosed"));
    const { head } = await store.refresh();
    t.is(head.open["a"]?.grants["budget"]?.granted, 10);
});
