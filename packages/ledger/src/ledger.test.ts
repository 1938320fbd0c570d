import { hasResult } from "@ospreyreel/errors";
import { MemoryNetwork } from "@ospreyreel/peer/fixtures";
import { startEtcdStandIn } from "@ospreyreel/stand-ins";
import type { Bill } from "@ospreyreel/types";
import anyTest, { type TestFn } from "ava";
import { encodeCopyEntries } from "./copy-codec.js";
import { createIntent, type LedgerFixture, MapLookup, readHead, startLedger, waitFor } from "./fixtures.js";
import { AdaptiveGrantSize, ExactGrantSize } from "./grant-size-policy.js";
import { getFree } from "./head-math.js";

type StandIn = Awaited<ReturnType<typeof startEtcdStandIn>>;

interface Context {
    readonly kv: StandIn;
    readonly network: MemoryNetwork;
    readonly teardown: (end: () => Promise<void>) => void;
    readonly ends: readonly (() => Promise<void>)[];
}

const test = anyTest as TestFn<Context>;

test.beforeEach(async t => {
    const ends: (() => Promise<void>)[] = [];
    const teardown = (end: () => Promise<void>): void => void ends.push(end);
    t.context = { kv: await startEtcdStandIn({}), network: new MemoryNetwork(), teardown, ends };
});

test.afterEach.always(async t => {
    await Promise.all(t.context.ends.map(end => end()));
    await t.context.kv.close();
});

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

const serve = async (fixture: LedgerFixture, id: string, reserved: number, used: number): Promise<void> => {
    const reservation = await fixture.ledger.reserve("b", reserved);
    const acknowledged = await fixture.ledger.acknowledge(reservation, createIntent(id));
    await fixture.ledger.finish(acknowledged, used, createBill(id, used));
};

const getSpent = async (fixture: LedgerFixture): Promise<number> => {
    const dump = await fixture.ledger.readDump("b");
    return dump.budgets["b"]?.spent ?? 0;
};

test("served tokens are settled and billed, and no more tokens are granted than are prepaid", async t => {
    const a = await startLedger({ ...t.context, instance: "a" });
    const b = await startLedger({ ...t.context, instance: "b" });
    await Promise.all(Array.from({ length: 20 }, (_, i) => serve(i % 2 === 0 ? a : b, `r${i}`, 45, 40)));
    await waitFor(async () => await getSpent(a) === 800);
    const err = await t.throwsAsync(a.ledger.reserve("b", 201));
    t.true(hasResult(err, "budgetExhausted") || hasResult(err, "budgetReserved"));
    await serve(a, "last", 200, 200);
    await waitFor(async () => await getSpent(a) === 1_000);
    t.truthy(a.ledger.findBilled("b", "team", "r0"));
});

test("an idle grant of another instance is recalled before a request is refused", async t => {
    const a = await startLedger({ ...t.context, instance: "a", budgets: () => ({ prepaid: 1_000, revision: 1 }) });
    const b = await startLedger({ ...t.context, instance: "b" });
    const held = await a.ledger.reserve("b", 900);
    a.ledger.release(held);
    t.is(a.ledger.getAvailable("b"), 900);
    await t.notThrowsAsync(b.ledger.reserve("b", 950));
    t.is(a.ledger.getAvailable("b"), 0);
});

test("the remainder of a budget is gathered at one instance; others refuse immediately, so they can forward", async t => {
    // With a share of 1 the whole budget counts as near its end.
    const policy = new AdaptiveGrantSize({ maxShare: 1 });
    const a = await startLedger({ ...t.context, instance: "a", policy });
    const gatherer = a.hub.self().incarnation;
    const b = await startLedger({
        ...t.context,
        instance: "b",
        policy: new ExactGrantSize(),
        getGathererIncarnation: () => gatherer,
    });
    b.ledger.release(await b.ledger.reserve("b", 300));
    const held = await a.ledger.reserve("b", 600);
    const err = await t.throwsAsync(b.ledger.reserve("b", 800));
    t.true(hasResult(err, "budgetReserved") || hasResult(err, "budgetExhausted"));
    t.is(b.counters.get("ledger_recalls"), 0);
    t.is(b.ledger.getGathererIncarnation("b"), gatherer);
    a.ledger.release(held);
    a.ledger.release(await a.ledger.reserve("b", 990));
    t.is(a.ledger.getAvailable("b"), 1_000);
    t.is(b.ledger.getAvailable("b"), 0);
});

test("requests that fit are not delayed by one that waits for the key-value service", async t => {
    const a = await startLedger({ ...t.context, instance: "a", kvDeadlineMs: 300 });
    a.ledger.release(await a.ledger.reserve("b", 100));
    await t.context.kv.setFaults({ stallMs: 1_500 });
    const waiting = a.ledger.reserve("b", 500);
    await t.notThrowsAsync(a.ledger.reserve("b", 50));
    await t.throwsAsync(waiting);
    await t.context.kv.setFaults({ stallMs: 0 });
});

test("lost replies neither grant twice nor bill twice", async t => {
    const a = await startLedger({ ...t.context, instance: "a", policy: new ExactGrantSize() });
    const b = await startLedger({ ...t.context, instance: "b", policy: new ExactGrantSize() });
    await t.context.kv.setFaults({ loseReplies: 0.4, seed: 7 });
    for (let i = 0; i < 30; i++) {
        await serve(i % 2 === 0 ? a : b, `r${i}`, 10, 10);
    }
    await t.context.kv.setFaults({ loseReplies: 0 });
    await waitFor(async () => await getSpent(a) === 300);
    const head = await readHead(a.kv);
    t.is(head === undefined ? undefined : getFree(head, "b"), 700);
    t.true(a.counters.get("ledger_unknown_writes") + b.counters.get("ledger_unknown_writes") > 0);
});

test("the same key settled by two instances is billed once and counted twice", async t => {
    const a = await startLedger({ ...t.context, instance: "a" });
    const b = await startLedger({ ...t.context, instance: "b" });
    for (const fixture of [a, b]) {
        const reservation = await fixture.ledger.reserve("b", 10);
        const acknowledged = await fixture.ledger.acknowledge(
            reservation,
            createIntent(fixture.hub.self().instance, "k"),
        );
        await fixture.ledger.finish(acknowledged, 10, createBill("k", 10));
    }
    await waitFor(async () => await getSpent(a) === 20);
    const entries = await a.kv.range("/test/ledger/journal/");
    t.is(entries.length, 1);
});

test("the copy holder returns the unspent tokens of a dead instance and bills the served ones", async t => {
    const lookup = new MapLookup();
    const a = await startLedger({ ...t.context, instance: "a" });
    const b = await startLedger({ ...t.context, instance: "b", lookup });
    await waitFor(() => a.ledger.getDump().copyHolder === b.hub.self().incarnation);
    await serve(a, "done", 100, 60);
    const reservation = await a.ledger.reserve("b", 300);
    await a.ledger.acknowledge(reservation, createIntent("open"));
    t.context.network.disconnect(a.hub);
    await waitFor(async () => (await readHead(b.kv))?.sealed["open"] !== undefined);
    const sealed = await readHead(b.kv);
    t.is(sealed === undefined ? undefined : getFree(sealed, "b"), 1_000 - 60 - 300);
    lookup.findings.set("open", { state: "ended", promptTokens: 10, completionTokens: 40 });
    await waitFor(async () => Object.keys((await readHead(b.kv))?.sealed ?? {}).length === 0);
    const resolved = await readHead(b.kv);
    t.is(resolved === undefined ? undefined : getFree(resolved, "b"), 1_000 - 60 - 50);
    t.truthy(b.ledger.findBilled("b", "team", "open"));
    t.truthy(b.ledger.findBilled("b", "team", "done"));
});

test("an instance closed while partitioned cannot draw, dispatch or settle, and continues under a new incarnation", async t => {
    const a = await startLedger({ ...t.context, instance: "a" });
    const b = await startLedger({ ...t.context, instance: "b" });
    await waitFor(() => a.ledger.getDump().copyHolder === b.hub.self().incarnation);
    const reservation = await a.ledger.reserve("b", 100);
    const first = a.ledger.incarnation;
    t.context.network.disconnect(a.hub);
    // Until it is closed, no other instance can use the tokens that it held.
    await waitFor(() => b.counters.get("incarnations_closed") === 1);
    const err = await t.throwsAsync(a.ledger.acknowledge(reservation, createIntent("late")));
    t.true(hasResult(err, "copyUnavailable"));
    await waitFor(() => a.ledger.incarnation !== first && a.ledger.getDump().registered);
    await waitFor(async () => {
        const head = await readHead(b.kv);
        return head !== undefined && !((first ?? "") in head.open) && getFree(head, "b") === 1_000;
    });
    t.pass();
});

test("a sealed copy acknowledges no further entries", async t => {
    const a = await startLedger({ ...t.context, instance: "a" });
    const b = await startLedger({ ...t.context, instance: "b" });
    await waitFor(() => a.ledger.getDump().copyHolder === b.hub.self().incarnation);
    const holder = a.ledger.incarnation ?? "";
    t.true(b.ledger.copies.list().some(copy => copy.holder === holder));
    b.ledger.copies.seal(holder);
    const response = b.ledger.copies.append({ holder, generation: 1, position: 0, entries: encodeCopyEntries([]) });
    t.deepEqual(response, { accepted: false, reason: "sealed" });
});

test("while the key-value service is down, requests use the grant and are then refused as not run", async t => {
    const a = await startLedger({ ...t.context, instance: "a" });
    await startLedger({ ...t.context, instance: "b" });
    a.ledger.release(await a.ledger.reserve("b", 100));
    await t.context.kv.setFaults({ down: true });
    await serve(a, "r1", 60, 50);
    const err = await t.throwsAsync(a.ledger.reserve("b", 60));
    t.true(hasResult(err, "ledgerUnavailable"));
    t.is(hasResult(err, "ledgerUnavailable") ? err.result.outcome : undefined, "not_run");
    await t.context.kv.setFaults({ down: false });
    await waitFor(async () => await getSpent(a).catch(() => 0) === 50);
    t.pass();
});

test("a top-up while requests run is applied only from the document with the higher revision", async t => {
    const terms = { prepaid: 100, revision: 1 };
    const a = await startLedger({ ...t.context, instance: "a", budgets: () => terms });
    await serve(a, "r1", 100, 100);
    await t.throwsAsync(a.ledger.reserve("b", 50));
    const b = await startLedger({ ...t.context, instance: "b", budgets: () => ({ prepaid: 150, revision: 2 }) });
    await serve(b, "r2", 50, 50);
    await waitFor(async () => await getSpent(a) === 150);
    const err = await t.throwsAsync(a.ledger.reserve("b", 1));
    t.true(hasResult(err, "budgetExhausted"));
    const head = await readHead(a.kv);
    t.deepEqual(head?.budgets["b"]?.prepaid, 150);
});

test("all claims of a key return the first one", async t => {
    const a = await startLedger({ ...t.context, instance: "a" });
    const b = await startLedger({ ...t.context, instance: "b" });
    await t.context.kv.setFaults({ loseReplies: 0.3, seed: 3 });
    for (let i = 0; i < 10; i++) {
        const claims = await Promise.all([a, b].map(async fixture => {
            const reservation = await fixture.ledger.reserve("b", 1);
            const claim = { team: "team", requestKey: `k${i}`, intentId: `${fixture.hub.self().instance}${i}` };
            return await fixture.ledger.claim(reservation, claim);
        }));
        t.deepEqual(claims[0], claims[1]);
    }
});

test("an instance registers only once it knows its peers, and then immediately with a copy holder", async t => {
    const b = await startLedger({ ...t.context, instance: "b" });
    let meet: () => void = () => undefined;
    const peersKnown = new Promise<void>(resolve => {
        meet = resolve;
    });
    const starting = startLedger({ ...t.context, instance: "a", peersKnown });
    const turns = b.counters.get("kv_reads") + 3;
    await b.ledger.readDump("b");
    await waitFor(async () => {
        await b.ledger.readDump("b");
        return b.counters.get("kv_reads") >= turns;
    });
    t.is((await b.kv.range("/test/incarnations/")).length, 1);
    meet();
    const a = await starting;
    t.is(a.ledger.getDump().copyHolder, b.hub.self().incarnation);
    t.is(a.counters.get("copy_holder_changes"), 1);
});

test("a graceful stop returns all grants and removes the incarnation", async t => {
    const a = await startLedger({ ...t.context, instance: "a" });
    const b = await startLedger({ ...t.context, instance: "b" });
    await serve(a, "r1", 100, 70);
    await b.ledger.drainCopies(0);
    await a.ledger.stop();
    const head = await readHead(b.kv);
    t.is(head === undefined ? undefined : getFree(head, "b"), 930);
    t.is((await a.kv.range("/test/incarnations/")).length, 1);
});
