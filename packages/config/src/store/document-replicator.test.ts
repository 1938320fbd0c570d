import { MemoryKvService } from "@ospreyreel/kv/fixtures";
import { MemoryNetwork } from "@ospreyreel/peer/fixtures";
import type { VersionedDocument } from "@ospreyreel/types";
import test, { type ExecutionContext } from "ava";
import { createToppedUpText } from "../fixtures/documents.js";
import { createEdit, createInstance, createVersioned, type TestInstance, waitForRevision } from "../fixtures/stores.js";
import { getPushPeers } from "./push-peers.js";

/** Creates started instances on one network and one key-value service. */
const createFleet = (t: ExecutionContext, size: number): readonly TestInstance[] => {
    const network = new MemoryNetwork();
    const service = new MemoryKvService();
    const fleet = Array.from(
        { length: size },
        (_value, index) => createInstance({ instance: `entry-${index + 1}`, network, service }),
    );
    for (const { store } of fleet) {
        store.start();
        t.teardown(() => store.stop());
    }
    return fleet;
};

/** Creates a fleet that has received its first document from the key-value service. */
const createInformedFleet = async (t: ExecutionContext, size: number): Promise<readonly TestInstance[]> => {
    const fleet = createFleet(t, size);
    await fleet[0]?.store.apply(createEdit());
    await Promise.all(fleet.map(instance => waitForRevision(instance, 1)));
    return fleet;
};

const createSecondEdit = () => createEdit({ text: createToppedUpText(1), baseRevision: 1, editId: "edit-2" });

const toName = (index: number): string => `entry-${String(index).padStart(4, "0")}`;

test("an accepted edit becomes active on every instance by the watch", async t => {
    const fleet = createFleet(t, 3);
    await fleet[0]?.store.apply(createEdit());
    await Promise.all(fleet.map(instance => waitForRevision(instance, 1)));
    t.deepEqual(fleet.map(({ hub }) => hub.self().configRevision), [1, 1, 1]);
});

test("an accepted edit reaches instances without the key-value service through their peers", async t => {
    const fleet = await createInformedFleet(t, 8);
    fleet.slice(1).forEach(({ kv }) => kv.disconnect());
    await fleet[0]?.store.apply(createSecondEdit());
    await Promise.all(fleet.map(instance => waitForRevision(instance, 2)));
    t.true(fleet.every(({ store }) => store.current()?.editId === "edit-2"));
});

test("a disconnected instance requests the document from a peer whose heartbeat has a higher revision", async t => {
    const [first, second] = await createInformedFleet(t, 2);
    if (first === undefined || second === undefined) {
        return t.fail();
    }
    second.kv.disconnect();
    // The push fails since its handler rejects it; only the heartbeat arrives.
    second.hub.handle("config.push", () => Promise.reject(new Error("lost")));
    await first.store.apply(createSecondEdit());
    await waitForRevision(second, 2);
    t.is(second.store.current()?.revision, 2);
});

test("a pushed document is activated only if it is valid and its revision is higher", async t => {
    const [first, second] = await createInformedFleet(t, 2);
    const push = async (document: VersionedDocument) => {
        const to = second?.hub.self().incarnation ?? "";
        return await first?.hub.request(to, "config.push", document);
    };
    t.deepEqual(await push(createVersioned(7)), { revision: 7 });
    t.deepEqual(await push(createVersioned(6, createToppedUpText(1))), { revision: 7 });
    t.deepEqual(await push(createVersioned(8, "{}")), { revision: 7 });
    t.deepEqual(await push({ revision: 9 } as VersionedDocument), { revision: 7 });
    t.is(second?.counters.get("config_rejected"), 2);
    t.deepEqual(await push({ ...createVersioned(7), editId: "other" }), { revision: 7 });
    t.is(second?.counters.get("config_revision_clash"), 1);
});

test("a new instance reads the key-value service, or a majority of the listed if that is unavailable", async t => {
    const network = new MemoryNetwork();
    const service = new MemoryKvService();
    const [first, second, third, fresh] = ["a", "b", "c", "d"].map(instance =>
        createInstance({ instance, network, service })
    );
    if (first === undefined || second === undefined || third === undefined || fresh === undefined) {
        return t.fail();
    }
    for (const { store } of [first, second, third]) {
        store.start();
        t.teardown(() => store.stop());
    }
    await first.store.apply(createEdit());
    await Promise.all([second, third].map(instance => waitForRevision(instance, 1)));
    fresh.kv.disconnect();
    const listedInstances = ["a", "b", "c", "d"];

    network.disconnect(first.hub);
    network.disconnect(second.hub);
    t.is(await fresh.store.loadCurrent({ listedInstances }), undefined);
    network.reconnect(second.hub);
    t.is((await fresh.store.loadCurrent({ listedInstances }))?.revision, 1);

    const another = createInstance({ instance: "e", service });
    t.is((await another.store.loadCurrent({ listedInstances: [] }))?.revision, 1);
});

test("an instance is stale after no contact to the key-value service and any peer", async t => {
    let nowMs = 0;
    const network = new MemoryNetwork();
    const instance = createInstance({ network, now: () => nowMs });
    nowMs = 61_000;
    t.true(instance.store.isStale(60));
    t.false(instance.store.isStale(0));
    await instance.store.loadCurrent({ listedInstances: [] });
    t.false(instance.store.isStale(60));
    nowMs = 200_000;
    const peer = createInstance({ instance: "entry-2", network });
    t.false(instance.store.isStale(60));
    network.disconnect(peer.hub);
    nowMs = 260_000;
    t.false(instance.store.isStale(60));
    nowMs = 260_001;
    t.true(instance.store.isStale(60));
});

for (const size of [1, 2, 8, 1200]) {
    test(`a push from one of ${size} instances reaches all within a few hops`, t => {
        const names = Array.from({ length: size }, (_value, index) => toName(index));
        let reached = new Set(["entry-0000"]);
        const hops = Math.ceil(Math.log2(size));
        for (let hop = 0; hop < hops; hop++) {
            const next = [...reached].flatMap(self => getPushPeers(self, names.filter(name => name !== self)));
            reached = new Set([...reached, ...next]);
        }
        t.is(reached.size, size);
        t.true(getPushPeers("entry-0000", names).length <= hops);
    });
}
