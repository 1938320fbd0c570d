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
    /** Instances a, b and c with revision 1 active. */
    readonly informed: readonly TestInstance[];
    /** Instance d, just started, disconnected from the key-value service. */
    readonly fresh: TestInstance;
}

const listedInstances = ["a", "b", "c", "d"];
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

/** Creates an instance that is not listed and has a later revision than all others. */
const createUnlisted = (network: MemoryNetwork): MemoryHub => {
    const hub = network.createHub("unlisted");
    hub.handle("config.get", () => Promise.resolve({ document: createVersioned(3, laterText) }));
    return hub;
};

const push = async (from: MemoryHub, to: TestInstance): Promise<unknown> =>
    await from.request(to.hub.self().incarnation, "config.push", createVersioned(3, laterText));

const isolate = ({ network, informed }: Fixture, count: number): void =>
    informed.slice(0, count).forEach(({ hub }) => network.disconnect(hub));

const reconnect = ({ network, informed }: Fixture): void => informed.forEach(({ hub }) => network.reconnect(hub));

/** Waits until pending asynchronous work is done; pulls use a timer of 0 ms. */
const settle = async (): Promise<void> => {
    for (let turn = 0; turn < TURNS; turn++) {
        await sleep(1);
    }
};

test("a push before the first document is ignored, and one after it is activated", async t => {
    const fixture = await createFixture(t);
    const { fresh, network } = fixture;
    const unlisted = createUnlisted(network);
    isolate(fixture, 2);
    t.deepEqual(await push(unlisted, fresh), { revision: 0 });
    t.is(fresh.store.current(), undefined);
    t.is(await fresh.store.loadCurrent({ listedInstances }), undefined);
    reconnect(fixture);
    t.is((await fresh.store.loadCurrent({ listedInstances }))?.revision, 1);
    t.deepEqual(await push(unlisted, fresh), { revision: 3 });
});

test("a revision announced by heartbeat is not requested before the first document is active", async t => {
    const { fresh, informed, network } = await createFixture(t);
    const unlisted = createUnlisted(network);
    unlisted.updateSelf({ configRevision: 3 });
    await Promise.all(informed.map(instance => waitForRevision(instance, 3)));
    await settle();
    t.is(fresh.store.current(), undefined);
});

test("a revision announced before the first document is requested once the first document is active", async t => {
    const fixture = await createFixture(t);
    const { fresh, network } = fixture;
    isolate(fixture, 3);
    createUnlisted(network).updateSelf({ configRevision: 3 });
    await settle();
    t.is(fresh.store.current(), undefined);
    reconnect(fixture);
    t.is((await fresh.store.loadCurrent({ listedInstances }))?.revision, 1);
    // Before the next poll, which is due in 10 s.
    await settle();
    t.is(fresh.store.current()?.revision, 3);
});

test("responses of instances without a document do not count toward the majority", async t => {
    const fixture = await createFixture(t);
    const { fresh, network } = fixture;
    const listed = { listedInstances: ["c", "d", "e", "f"] };
    const others = ["e", "f"].map(instance => {
        const other = createInstance({ instance, network });
        other.kv.disconnect();
        return start(t, other);
    });
    await settle();
    t.is(await fresh.store.loadCurrent(listed), undefined);
    // The same holds where their heartbeats announce a revision.
    others.forEach(({ hub }) => hub.updateSelf({ configRevision: 1 }));
    await settle();
    t.is(await fresh.store.loadCurrent(listed), undefined);
    t.deepEqual(others.map(({ store }) => store.current()), [undefined, undefined]);
});

test("a new instance whose watch emits nothing reads the first document", async t => {
    const network = new MemoryNetwork();
    const service = new MemoryKvService();
    const fresh = createInstance({ instance: "d", network, service });
    fresh.kv.watch = () => never() as Stream<KvEvent>;
    start(t, fresh);
    t.is(await fresh.store.loadCurrent({ listedInstances }), undefined);
    const first = createInstance({ instance: "a", service });
    await first.store.apply(createEdit());
    t.is((await fresh.store.loadCurrent({ listedInstances }))?.revision, 1);
});

test("the only listed instance gets its first document only from the key-value service", async t => {
    const { fresh, network } = await createFixture(t);
    await push(createUnlisted(network), fresh);
    t.is(await fresh.store.loadCurrent({ listedInstances: ["d"] }), undefined);
    fresh.kv.reconnect();
    t.is((await fresh.store.loadCurrent({ listedInstances: ["d"] }))?.revision, 1);
});

test("a new instance requests the document from a majority if the key-value service lost it", async t => {
    const fixture = await createFixture(t);
    const { fresh, informed } = fixture;
    await informed[0]?.kv.txn({ compares: [], deletes: [{ key: "/ospreyreel/config/document" }] });
    fresh.kv.reconnect();
    isolate(fixture, 2);
    t.is(await fresh.store.loadCurrent({ listedInstances }), undefined);
    reconnect(fixture);
    t.is((await fresh.store.loadCurrent({ listedInstances }))?.revision, 1);
});
