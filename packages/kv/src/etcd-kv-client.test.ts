import { hasResult } from "@ospreyreel/errors";
import { type EtcdStandIn, type EtcdStandInOptions, startEtcdStandIn } from "@ospreyreel/stand-ins";
import { Counters } from "@ospreyreel/telemetry";
import test, { type ExecutionContext } from "ava";
import { setImmediate, setTimeout as sleep } from "node:timers/promises";
import { EtcdKvClient, type EtcdKvClientOptions } from "./etcd-kv-client.js";

interface Fixture {
    readonly standIn: EtcdStandIn;
    readonly counters: Counters;
    readonly connect: (opts?: Partial<EtcdKvClientOptions>) => EtcdKvClient;
}

const startFixture = async (t: ExecutionContext, opts: EtcdStandInOptions = {}): Promise<Fixture> => {
    const standIn = await startEtcdStandIn(opts);
    const counters = new Counters();
    t.teardown(() => standIn.close());
    const connect = (clientOpts: Partial<EtcdKvClientOptions> = {}): EtcdKvClient => {
        // The deadline is long, so that no call fails on a busy machine; tests of the deadline set their own.
        const kv = new EtcdKvClient({ endpoints: [standIn.url], counters, deadlineMs: 30_000, ...clientOpts });
        t.teardown(() => kv.close());
        return kv;
    };
    return { standIn, counters, connect };
};

const bytes = (text: string): Uint8Array => new TextEncoder().encode(text);
const text = (value: Uint8Array | undefined): string | undefined =>
    value === undefined ? undefined : new TextDecoder().decode(value);

const create = (kv: EtcdKvClient, key: string, value: string): ReturnType<EtcdKvClient["txn"]> =>
    kv.txn({ compares: [{ key, modRevision: 0 }], puts: [{ key, value: bytes(value) }], onFailure: [{ key }] });

test("of concurrent compare-and-swap writes exactly one succeeds and the others read its value", async t => {
    const { connect } = await startFixture(t);
    const kv = connect();
    const writers = ["a", "b", "c", "d", "e"];
    const results = await Promise.all(writers.map(writer => create(kv, "/head", writer)));
    const winner = writers[results.findIndex(result => result.succeeded)];
    t.is(results.filter(result => result.succeeded).length, 1);
    const losers = results.filter(result => !result.succeeded);
    t.deepEqual(losers.map(result => text(result.reads[0]?.[0]?.value)), losers.map(() => winner));
    t.is(text((await kv.get("/head"))?.value), winner);
});

test("a write is visible at the revision that its response names", async t => {
    const { connect } = await startFixture(t);
    const kv = connect();
    const first = await create(kv, "/a", "1");
    t.is((await kv.get("/a"))?.modRevision, first.revision);
    const compares = [{ key: "/a", modRevision: first.revision }];
    const second = await kv.txn({ compares, puts: [{ key: "/a", value: bytes("2") }] });
    t.true(second.succeeded);
    t.false((await kv.txn({ compares, deletes: [{ key: "/a" }] })).succeeded);
    t.is(text((await kv.get("/a"))?.value), "2");
    t.is(await kv.get("/none"), undefined);
});

test("a lost reply is an unknown outcome and the write took effect", async t => {
    const { standIn, counters, connect } = await startFixture(t, { faults: { loseReplies: 1 } });
    const kv = connect();
    const err = await t.throwsAsync(create(kv, "/a", "1"));
    t.true(hasResult(err, "kvOutcomeUnknown"));
    t.is(counters.get("kv_outcome_unknown"), 1);
    t.is(standIn.calls.writes, 1);
    t.is(text((await kv.get("/a"))?.value), "1");
});

test("a write whose reply was lost is not retried at another endpoint", async t => {
    const { standIn, connect } = await startFixture(t, { faults: { loseReplies: 1 } });
    const kv = connect({ endpoints: [standIn.url, standIn.url] });
    const err = await t.throwsAsync(create(kv, "/a", "1"));
    t.true(hasResult(err, "kvOutcomeUnknown"));
    t.is(standIn.calls.writes, 1);
});

test("a write that the service delays past the deadline is an unknown outcome and takes effect later", async t => {
    const { standIn, connect } = await startFixture(t);
    const shortDeadlineKv = connect({ deadlineMs: 300 });
    const kv = connect();
    // Opens a connection first, since a write whose connect times out has no effect.
    while (await shortDeadlineKv.get("/a").then(() => false, () => true)) {
        await setImmediate();
    }
    await standIn.setFaults({ stallMs: 1000 });
    const err = await t.throwsAsync(create(shortDeadlineKv, "/a", "1"));
    t.true(hasResult(err, "kvOutcomeUnknown"));
    await standIn.setFaults({ stallMs: 0 });
    while (await kv.get("/a") === undefined) {
        await setImmediate();
    }
    t.is(text((await kv.get("/a"))?.value), "1");
});

test("a refused connection is a write without effect and a failed read", async t => {
    const { standIn, connect } = await startFixture(t, { faults: { down: true } });
    const kv = connect();
    t.true(hasResult(await t.throwsAsync(create(kv, "/a", "1")), "kvUnavailable"));
    t.true(hasResult(await t.throwsAsync(kv.grantLease(5)), "kvUnavailable"));
    t.true(hasResult(await t.throwsAsync(kv.get("/a")), "kvUnavailable"));
    await standIn.setFaults({ down: false });
    t.is(await kv.get("/a"), undefined);
    t.is(standIn.calls.writes, 0);
});

test("calls continue with the next endpoint when the first one refuses the connection", async t => {
    const { standIn, connect } = await startFixture(t);
    const downStandIn = await startEtcdStandIn({ faults: { down: true } });
    t.teardown(() => downStandIn.close());
    const kv = connect({ endpoints: [downStandIn.url, standIn.url] });
    t.true((await create(kv, "/a", "1")).succeeded);
    t.is(text((await kv.get("/a"))?.value), "1");
});

test("concurrent calls all skip an endpoint that refuses connections", async t => {
    const { standIn, connect } = await startFixture(t);
    const downStandIn = await startEtcdStandIn({ faults: { down: true } });
    t.teardown(() => downStandIn.close());
    const kv = connect({ endpoints: [downStandIn.url, standIn.url] });
    const keys = ["/a", "/b", "/c", "/d"];
    const results = await Promise.all(keys.map(key => create(kv, key, "1")));
    t.deepEqual(results.map(result => result.succeeded), keys.map(() => true));
    t.is(standIn.calls.writes, keys.length);
});

test("a call that the service rejects had no effect", async t => {
    const { connect } = await startFixture(t, { maxTxnOps: 1 });
    const kv = connect();
    const puts = ["/a", "/b"].map(key => ({ key, value: bytes(key) }));
    const err = await t.throwsAsync(kv.txn({ compares: [], puts }));
    t.true(hasResult(err, "kvUnavailable"));
    t.regex(err.message, /too many operations/);
});

test("an expired lease deletes its keys and cannot be renewed", async t => {
    const { connect } = await startFixture(t);
    const kv = connect();
    const leaseId = await kv.grantLease(2);
    await kv.txn({ compares: [], puts: [{ key: "/leased/a", value: bytes("1"), leaseId }] });
    t.is(await kv.keepLeaseAlive(leaseId), 2);
    while (await kv.get("/leased/a") !== undefined) {
        await sleep(20);
    }
    t.is(await kv.keepLeaseAlive(leaseId), 0);
});

test("a revoked lease deletes its keys and may be revoked again", async t => {
    const { connect } = await startFixture(t);
    const kv = connect();
    const leaseId = await kv.grantLease(60);
    await kv.txn({ compares: [], puts: [{ key: "/a", value: bytes("1"), leaseId }] });
    await kv.revokeLease(leaseId);
    t.is(await kv.get("/a"), undefined);
    await t.notThrowsAsync(kv.revokeLease(leaseId));
    const put = kv.txn({ compares: [], puts: [{ key: "/a", value: bytes("1"), leaseId }] });
    t.true(hasResult(await t.throwsAsync(put), "kvUnavailable"));
});

test("a range respects its start and limit and returns keys in byte order", async t => {
    const { connect } = await startFixture(t);
    const kv = connect();
    const keys = ["/p/ä", "/p/b", "/p/a", "/p/c", "/q/a"];
    await kv.txn({ compares: [], puts: keys.map(key => ({ key, value: bytes(key) })) });
    const readKeys = async (opts?: Parameters<EtcdKvClient["range"]>[1]): Promise<readonly string[]> =>
        (await kv.range("/p/", opts)).map(entry => entry.key);
    t.deepEqual(await readKeys(), ["/p/a", "/p/b", "/p/c", "/p/ä"]);
    t.deepEqual(await readKeys({ limit: 2 }), ["/p/a", "/p/b"]);
    t.deepEqual(await readKeys({ after: "/p/b" }), ["/p/c", "/p/ä"]);
    t.deepEqual(await readKeys({ after: "/a", limit: 1 }), ["/p/a"]);
    await kv.txn({ compares: [], deletes: [{ key: "/p/b", endKey: "/p/d" }] });
    t.deepEqual(await readKeys(), ["/p/a", "/p/ä"]);
});
