import type { KvEvent } from "@ospreyreel/kv";
import { MemoryKvService } from "@ospreyreel/kv/fixtures";
import { type MemoryHub, MemoryNetwork } from "@ospreyreel/peer/fixtures";
import test, { type ExecutionContext } from "ava";
import { never, type Stream } from "most";
import { setTimeout as sleep } from "node:timers/promises";
import { createToppedUpText } from "../fixtures/documents.js";
import { createEdit, createInstance, createVersioned, type TestInstance, waitForRevision } from "../fixtures/stores.js";

interface Fixture {
    readonly network: MemoryNetwork;
    readonly service: MemoryKvService;
    /** Instances a, b and c with revision 1 in force. */
    readonly informed: readonly TestInstance[];
    /** Instance d, just started, without the key-value service. */
    readonly fresh: TestInstance;
}

const majorityOf = ["a", "b", "c", "d"];
const laterText = createToppedUpText(1);
const TURNS = 20;

const start = (t: ExecutionContext, instance: TestInstance): TestInstance => {
    instance.store.start();
    t.teardown(() => instance.store.stop());
    return instance;
};

const createFixture = async (t: ExecutionContext): Promise<Fixture> => {
    const network = new MemoryNetwork();
    const service = new MemoryKvService();
    const informed = ["a", "b", "c"].map(instance => start(t, createInstance({ instance, network, service })));
    await informed[0]?.store.apply(createEdit());
    await Promise.all(informed.map(instance => waitForRevision(instance, 1)));
    const fresh = createInstance({ instance: "d", network, service });
    fresh.kv.disconnect();
    return { network, service, informed, fresh: start(t, fresh) };
};

/** An instance that no list shows, with a later revision than all others. */
const createUnlisted = (network: MemoryNetwork): MemoryHub => {
    const hub = network.createHub("unlisted");
    hub.handle("config.get", () => Promise.resolve({ document: createVersioned(3, laterText) }));
    return hub;
};

const push = async (from: MemoryHub, to: TestInstance): Promise<unknown> =>
    await from.request(to.hub.self().incarnation, "config.push", createVersioned(3, laterText));

const isolate = ({ network, informed }: Fixture, count: number): void =>
    informed.slice(0, count).forEach(({ hub }) => network.isolate(hub));

const reconnect = ({ network, informed }: Fixture): void => informed.forEach(({ hub }) => network.reconnect(hub));

/** Lets everything run that waits for nothing; pulls come by a timer of 0 ms. */
const settle = async (): Promise<void> => {
    for (let turn = 0; turn < TURNS; turn++) {
        await sleep(1);
    }
};

test("a push before the first document is not put in force, and one after it is", async t => {
    const fixture = await createFixture(t);
    const { fresh, network } = fixture;
    const unlisted = createUnlisted(network);
    isolate(fixture, 2);
    t.deepEqual(await push(unlisted, fresh), { revision: 0 });
    t.is(fresh.store.current(), undefined);
    t.is(await fresh.store.awaitCurrent({ majorityOf }), undefined);
    reconnect(fixture);
    t.is((await fresh.store.awaitCurrent({ majorityOf }))?.revision, 1);
    t.deepEqual(await push(unlisted, fresh), { revision: 3 });
});

test("a revision known from a heartbeat is not asked for before the first document", async t => {
    const { fresh, informed, network } = await createFixture(t);
    const unlisted = createUnlisted(network);
    unlisted.updateSelf({ configRevision: 3 });
    await Promise.all(informed.map(instance => waitForRevision(instance, 3)));
    await settle();
    t.is(fresh.store.current(), undefined);
});

test("a revision that was told before the first document is asked for once that is in force", async t => {
    const fixture = await createFixture(t);
    const { fresh, network } = fixture;
    isolate(fixture, 3);
    createUnlisted(network).updateSelf({ configRevision: 3 });
    await settle();
    t.is(fresh.store.current(), undefined);
    reconnect(fixture);
    t.is((await fresh.store.awaitCurrent({ majorityOf }))?.revision, 1);
    // Sooner than the next poll, which is 10 s away.
    await settle();
    t.is(fresh.store.current()?.revision, 3);
});

test("answers of instances that know no document make no majority", async t => {
    const fixture = await createFixture(t);
    const { fresh, network } = fixture;
    const listed = { majorityOf: ["c", "d", "e", "f"] };
    const others = ["e", "f"].map(instance => {
        const other = createInstance({ instance, network });
        other.kv.disconnect();
        return start(t, other);
    });
    await settle();
    t.is(await fresh.store.awaitCurrent(listed), undefined);
    // Not even where their heartbeats say otherwise.
    others.forEach(({ hub }) => hub.updateSelf({ configRevision: 1 }));
    await settle();
    t.is(await fresh.store.awaitCurrent(listed), undefined);
    t.deepEqual(others.map(({ store }) => store.current()), [undefined, undefined]);
});

test("a fresh instance whose watch tells nothing reads the first document", async t => {
    const network = new MemoryNetwork();
    const service = new MemoryKvService();
    const fresh = createInstance({ instance: "d", network, service });
    fresh.kv.watch = () => never() as Stream<KvEvent>;
    start(t, fresh);
    t.is(await fresh.store.awaitCurrent({ majorityOf }), undefined);
    const first = createInstance({ instance: "a", service });
    await first.store.apply(createEdit());
    t.is((await fresh.store.awaitCurrent({ majorityOf }))?.revision, 1);
});

test("the only listed instance starts from the key-value service alone", async t => {
    const { fresh, network } = await createFixture(t);
    await push(createUnlisted(network), fresh);
    t.is(await fresh.store.awaitCurrent({ majorityOf: ["d"] }), undefined);
    fresh.kv.reconnect();
    t.is((await fresh.store.awaitCurrent({ majorityOf: ["d"] }))?.revision, 1);
});

test("a fresh instance asks a majority where the key-value service lost the document", async t => {
    const fixture = await createFixture(t);
    const { fresh, informed } = fixture;
    await informed[0]?.kv.txn({ compares: [], deletes: [{ key: "/ospreyreel/config/document" }] });
    fresh.kv.reconnect();
    isolate(fixture, 2);
    t.is(await fresh.store.awaitCurrent({ majorityOf }), undefined);
    reconnect(fixture);
    t.is((await fresh.store.awaitCurrent({ majorityOf }))?.revision, 1);
});
