import { MemoryNetwork } from "@ospreyreel/peer/fixtures";
import { startEtcdStandIn, startFaultProxy } from "@ospreyreel/stand-ins";
import type { Bill } from "@ospreyreel/types";
import anyTest, { type TestFn } from "ava";
import { createIntent, type LedgerFixture, startLedger, waitFor } from "./fixtures.js";

type StandIn = Awaited<ReturnType<typeof startEtcdStandIn>>;
type Proxy = Awaited<ReturnType<typeof startFaultProxy>>;

interface Context {
    readonly kv: StandIn;
    /** Between instance `a` and the key-value service. */
    readonly proxy: Proxy;
    readonly network: MemoryNetwork;
    readonly a: LedgerFixture;
    readonly b: LedgerFixture;
    readonly ends: (() => Promise<void>)[];
}

const test = anyTest as TestFn<Context>;

/** Longer than any test, so that no copy is sealed. */
const NEVER_MS = 600_000;

const bill: Bill = {
    requestKey: "r1",
    team: "team",
    budget: "b",
    offering: "offering",
    promptTokens: 0,
    completionTokens: 40,
    incarnation: "x",
    finishedAtMs: 0,
};

const start = async (t: { context: Context; }, sealDelayMs: number): Promise<void> => {
    const kv = await startEtcdStandIn({});
    const proxy = await startFaultProxy({
        target: { host: new URL(kv.url).hostname, port: Number(new URL(kv.url).port) },
    });
    const network = new MemoryNetwork();
    const ends: (() => Promise<void>)[] = [];
    const opts = { kv, network, sealDelayMs, teardown: (end: () => Promise<void>): void => void ends.push(end) };
    const kvUrl = `http://${proxy.address.host}:${proxy.address.port}`;
    const a = await startLedger({ ...opts, kv: { url: kvUrl }, instance: "a", kvDeadlineMs: 500 });
    const b = await startLedger({ ...opts, instance: "b" });
    t.context = { kv, proxy, network, a, b, ends };
    await waitFor(() => a.ledger.getDump().copyHolder === b.hub.self().incarnation);
};

const acknowledge = async ({ ledger }: LedgerFixture): Promise<Parameters<typeof ledger.finish>[0]> =>
    await ledger.acknowledge(await ledger.reserve("b", 100), createIntent("r1"));

test.afterEach.always(async t => {
    const { ends, proxy, kv } = t.context;
    await Promise.all(ends.map(end => end()));
    await proxy.close();
    await kv.close();
});

test("a finish with a bill resolves only once the copy holder has it, however long that takes", async t => {
    await start(t, NEVER_MS);
    const { a, b, network, proxy } = t.context;
    const acknowledged = await acknowledge(a);
    await proxy.setFaults({ mode: "cut" });
    network.disconnect(b.hub);
    let result: boolean | undefined;
    const finishing = a.ledger.finish(acknowledged, 40, bill).then(accepted => {
        result = accepted;
    });
    await waitFor(() => a.counters.get("copy_append_failures") > 0);
    await waitFor(() => a.counters.get("kv_errors") > 1 || result !== undefined);
    t.is(result, undefined);
    network.reconnect(b.hub);
    // A change of copy holder may have been in flight when the service became unreachable; it must finish first.
    await proxy.setFaults({ mode: "pass" });
    await finishing;
    t.true(result);
    await waitFor(async () => {
        await a.ledger.readDump("b");
        return a.ledger.findBilled("b", "team", "r1") !== undefined;
    });
});

test("a finish whose incarnation is closed first resolves with false", async t => {
    await start(t, 250);
    const { a, b, network, proxy } = t.context;
    const acknowledged = await acknowledge(a);
    await proxy.setFaults({ mode: "cut" });
    network.disconnect(a.hub);
    await waitFor(() => b.counters.get("incarnations_closed") === 1);
    const finishing = a.ledger.finish(acknowledged, 40, bill);
    await proxy.setFaults({ mode: "pass" });
    t.false(await finishing);
});

test("a finish without a bill resolves with false without waiting for a copy holder", async t => {
    await start(t, NEVER_MS);
    const { a, b, network, proxy } = t.context;
    const acknowledged = await acknowledge(a);
    await proxy.setFaults({ mode: "cut" });
    network.disconnect(b.hub);
    t.false(await a.ledger.finish(acknowledged, 0, undefined));
});

test("a finish that waits when its ledger is halted resolves with false", async t => {
    await start(t, NEVER_MS);
    const { a, b, network, proxy } = t.context;
    const acknowledged = await acknowledge(a);
    await proxy.setFaults({ mode: "cut" });
    network.disconnect(b.hub);
    const finishing = a.ledger.finish(acknowledged, 40, bill);
    await waitFor(() => a.counters.get("copy_append_failures") > 0);
    a.ledger.abort();
    t.false(await finishing);
});
