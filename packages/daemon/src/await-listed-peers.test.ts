import { MemoryNetwork } from "@ospreyreel/peer/fixtures";
import type { InstanceList } from "@ospreyreel/types";
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { awaitListedPeers } from "./await-listed-peers.js";

const createList = (names: readonly string[]): InstanceList => ({
    instances: names.map(instance => ({
        instance,
        availabilityZone: "zone-a",
        peer: { host: "127.0.0.1", port: 1 },
        state: "live",
    })),
    targets: [],
});

const NEVER_MS = 600_000;

test("waits until the list has been read and every listed instance is a known peer", async t => {
    const network = new MemoryNetwork();
    const hub = network.createHub("a");
    const list = { wasRead: false, current: () => createList(list.wasRead ? ["a", "b"] : []) };
    let isResolved = false;
    const { signal } = new AbortController();
    const peersKnown = awaitListedPeers({ list, hub, timeoutMs: NEVER_MS, signal }).then(() => {
        isResolved = true;
    });
    await sleep(60);
    t.false(isResolved);
    list.wasRead = true;
    await sleep(60);
    t.false(isResolved);
    network.createHub("b");
    await peersKnown;
    t.true(isResolved);
});

test("stops waiting for a missing instance after the timeout", async t => {
    const hub = new MemoryNetwork().createHub("a");
    const list = { wasRead: true, current: () => createList(["a", "b"]) };
    await awaitListedPeers({ list, hub, timeoutMs: 30, signal: new AbortController().signal });
    t.pass();
});

test("stops waiting when the instance is stopped", async t => {
    const hub = new MemoryNetwork().createHub("a");
    const list = { wasRead: false, current: () => createList([]) };
    await awaitListedPeers({ list, hub, timeoutMs: NEVER_MS, signal: AbortSignal.abort() });
    t.pass();
});
