import { hasResult } from "@ospreyreel/errors";
import { MemoryNetwork } from "@ospreyreel/peer/fixtures";
import { startEtcdStandIn } from "@ospreyreel/stand-ins";
import test, { type ExecutionContext } from "ava";
import { type LedgerFixture, startLedger, waitFor } from "./fixtures.js";
import { ExactGrantSize } from "./grant-size-policy.js";
import { HangingKv } from "./hanging-kv.js";

interface Rig extends LedgerFixture {
    readonly hanging: HangingKv;
}

const startRig = async (t: ExecutionContext): Promise<Rig> => {
    const ends: (() => Promise<void>)[] = [];
    const kv = await startEtcdStandIn({});
    let hanging: HangingKv | undefined;
    t.teardown(async () => {
        hanging?.resume();
        await Promise.all(ends.map(end => end()));
        await kv.close();
    });
    const fixture = await startLedger({
        kv,
        network: new MemoryNetwork(),
        instance: "a",
        policy: new ExactGrantSize(),
        drawTimeoutMs: 50,
        wrapKv: inner => hanging = new HangingKv(inner),
        teardown: end => void ends.push(end),
    });
    if (hanging === undefined) {
        throw new Error("the ledger was started without the hanging client");
    }
    // Loads the record, so that the write of a draw is the call that hangs.
    await fixture.ledger.readDump("b");
    return { ...fixture, hanging };
};

/** Retries, since on a busy machine a draw may take longer than the timeout of these tests. */
const retryReserve = async ({ ledger }: Rig, tokens: number): Promise<void> => {
    await waitFor(() => ledger.reserve("b", tokens).then(() => true, () => false));
};

/**
 * Lets draws time out while the service hangs, until one takes effect afterwards. A draw that conflicts with a change
 * of the incarnation's record, as after a start, is computed again and then finds no waiting request.
 */
const drawAfterTimeout = async (
    t: ExecutionContext,
    { ledger, hanging }: Rig,
    requests: readonly number[],
): Promise<void> => {
    while (ledger.getAvailable("b") === 0) {
        hanging.hang();
        const refused = await Promise.allSettled(requests.map(tokens => ledger.reserve("b", tokens)));
        for (const outcome of refused) {
            const reason: unknown = outcome.status === "rejected" ? outcome.reason : undefined;
            t.true(hasResult(reason, "ledgerUnavailable"));
            t.is(hasResult(reason, "ledgerUnavailable") ? reason.result.outcome : undefined, "not_run");
        }
        hanging.resume();
        await ledger.readDump("b");
    }
};

test("a draw that times out is refused as not run, and tokens that it brings later are free", async t => {
    const rig = await startRig(t);
    const { ledger, hanging, counters } = rig;
    await drawAfterTimeout(t, rig, [100]);
    t.true(counters.get("ledger_draw_timeouts") > 0);
    t.like(ledger.getDump().grants["b"], { granted: 100, used: 0, reserved: 0 });
    hanging.hang();
    await t.notThrowsAsync(ledger.reserve("b", 100));
});

test("refused requests take no tokens from later ones", async t => {
    const rig = await startRig(t);
    await drawAfterTimeout(t, rig, [300, 300, 300]);
    await retryReserve(rig, 1_000);
    t.like(rig.ledger.getDump().grants["b"], { granted: 1_000, used: 0, reserved: 1_000 });
});

test("the draw timeout also bounds the read of the record before a refusal", async t => {
    const rig = await startRig(t);
    const { ledger, hanging } = rig;
    await retryReserve(rig, 900);
    hanging.hang();
    const err = await t.throwsAsync(ledger.reserve("b", 200));
    t.true(hasResult(err, "ledgerUnavailable"));
    hanging.resume();
    await retryReserve(rig, 100);
    t.like(ledger.getDump().grants["b"], { granted: 1_000, used: 0, reserved: 1_000 });
});
