import { MemoryNetwork } from "@ospreyreel/peer/fixtures";
import { startEtcdStandIn } from "@ospreyreel/stand-ins";
import type { Bill } from "@ospreyreel/types";
import test from "ava";
import { createIntent, type LedgerFixture, startLedger, waitFor } from "./fixtures.js";
import { ExactGrantSize } from "./grant-size-policy.js";

const PREPAID = 1_000;
const EARLY_TOKENS = 200;
const LATE_TOKENS = 600;

/** Time in which another instance gets what it can of the budget, in milliseconds. */
const RESERVE_TIMEOUT_MS = 3_000;

const createBill = (requestKey: string, tokens: number): Bill => ({
    requestKey,
    team: "team",
    budget: "b",
    offering: "offering",
    promptTokens: 0,
    completionTokens: tokens,
    incarnation: "x",
    finishedAtMs: 0,
});

const serve = async ({ ledger }: LedgerFixture, id: string, tokens: number): Promise<void> => {
    const reservation = await ledger.reserve("b", tokens);
    const acknowledged = await ledger.acknowledge(reservation, createIntent(id));
    await ledger.finish(acknowledged, tokens, createBill(id, tokens));
};

const getSpent = async ({ ledger }: LedgerFixture): Promise<number> =>
    (await ledger.readDump("b")).budgets["b"]?.spent ?? 0;

/** Whether a reservation of so many tokens succeeds in time. */
const canReserve = async ({ ledger }: LedgerFixture, tokens: number): Promise<boolean> => {
    const reserving = ledger.reserve("b", tokens).then(() => true, () => false);
    const late = new Promise<boolean>(resolve => setTimeout(() => resolve(false), RESERVE_TIMEOUT_MS));
    return await Promise.race([reserving, late]);
};

test("the ledger grants no more than is prepaid after the service came back from an older copy", async t => {
    const kv = await startEtcdStandIn({});
    t.teardown(() => kv.close());
    const opts = { kv, network: new MemoryNetwork(), teardown: (end: () => Promise<void>) => t.teardown(end) };
    const a = await startLedger({ ...opts, instance: "a", policy: new ExactGrantSize() });
    const b = await startLedger({ ...opts, instance: "b", policy: new ExactGrantSize() });
    await serve(a, "early", EARLY_TOKENS);
    await waitFor(async () => await getSpent(a) === EARLY_TOKENS);
    const copy = await a.kv.range("/test");
    await serve(a, "late", LATE_TOKENS);
    await waitFor(async () => await getSpent(a) === EARLY_TOKENS + LATE_TOKENS);
    for (const { key, value } of copy) {
        const entry = await a.kv.get(key);
        await a.kv.txn({ compares: [{ key, modRevision: entry?.modRevision ?? 0 }], puts: [{ key, value }] });
    }
    t.false(await canReserve(b, PREPAID - LATE_TOKENS), "more than is prepaid was granted");
});
