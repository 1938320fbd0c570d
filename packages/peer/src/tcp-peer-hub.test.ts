import { hasResult } from "@ospreyreel/errors";
import { Counters } from "@ospreyreel/telemetry";
import test from "ava";
import { once } from "node:events";
import { wasNotSent } from "./errors.js";
import { encodeFrame } from "./frame-decoder.js";
import { connectRaw, startHub, startRelay, waitUntil, waitUntilJoined } from "./hub-fixtures.js";
import type { MembershipChange } from "./peer-hub.js";
import type { TcpPeerHub } from "./tcp-peer-hub.js";

const NOWHERE = { host: "127.0.0.1", port: 1 };
const NEVER = new Promise<never>(() => undefined);

const recordChanges = (hub: TcpPeerHub): readonly MembershipChange[] => {
    const seen: MembershipChange[] = [];
    void hub.changes().observe(change => void seen.push(change));
    return seen;
};

test("a request reaches the handler and its response the requester", async t => {
    const counters = new Counters();
    const a = await startHub(t, { instance: "a" }, { counters });
    const b = await startHub(t, { instance: "b" });
    b.handle("ledger.recall", (req, from) => Promise.resolve({ released: req.budget.length + from.instance.length }));
    a.setPeerAddresses([a.self().peer, b.self().peer]);
    await waitUntilJoined(a, b);
    t.deepEqual(await a.request("b-1", "ledger.recall", { budget: "farm" }, 10_000), { released: 5 });
    t.is(counters.get("peer_requests"), 1);
    t.is(counters.snapshot().gauges["peer_links"], 1);
});

test("a failing or missing handler or an unknown incarnation results in peerUnavailable", async t => {
    const a = await startHub(t, { instance: "a" });
    const b = await startHub(t, { instance: "b" });
    b.handle("ledger.recall", () => Promise.reject(new Error("no such budget")));
    a.setPeerAddresses([b.self().peer]);
    await waitUntilJoined(a, b);
    const failed = await t.throwsAsync(a.request("b-1", "ledger.recall", { budget: "x" }, 10_000));
    t.true(hasResult(failed, "peerUnavailable"));
    t.regex(failed?.message ?? "", /no such budget/);
    const missing = await t.throwsAsync(a.request("b-1", "config.get", {}, 10_000));
    t.regex(missing?.message ?? "", /no handler/);
    const unknown = await t.throwsAsync(a.request("b-0", "config.get", {}, 10_000));
    t.true(hasResult(unknown, "peerUnavailable"));
});

test("a request to a peer that accepts no link was not sent, one whose link is lost may have been", async t => {
    const a = await startHub(t, { instance: "a" });
    const b = await startHub(t, { instance: "b", peer: NOWHERE });
    const relay = await startRelay(t, { host: "127.0.0.1", port: b.listenPort });
    let requestCount = 0;
    b.handle("config.get", () => (requestCount++, NEVER));
    a.setPeerAddresses([relay.address]);
    await waitUntilJoined(a, b);
    const failure = t.throwsAsync(a.request("b-1", "config.get", {}, 10_000));
    await waitUntil(() => requestCount === 1);
    await b.close();
    const lost = await failure;
    t.true(hasResult(lost, "peerUnavailable"));
    t.false(wasNotSent(lost));
    const refused = await t.throwsAsync(a.request("b-1", "config.get", {}, 10_000));
    t.true(hasResult(refused, "peerUnavailable"));
    t.true(wasNotSent(refused));
});

test("a reply after the timeout is dropped and counted", async t => {
    const counters = new Counters();
    const a = await startHub(t, { instance: "a" }, { counters });
    const b = await startHub(t, { instance: "b" });
    let release = (): void => undefined;
    b.handle("config.get", () => new Promise(resolve => (release = () => resolve({ document: undefined }))));
    a.setPeerAddresses([b.self().peer]);
    await waitUntilJoined(a, b);
    const late = await t.throwsAsync(a.request("b-1", "config.get", {}, 1));
    t.true(hasResult(late, "peerUnavailable"));
    await waitUntil(() => (release(), counters.get("peer_unknown_replies") === 1));
    t.pass();
});

test("a peer without the key gets no link and no proof", async t => {
    const counters = new Counters();
    const a = await startHub(t, { instance: "a" }, { counters });
    const b = await startHub(t, { instance: "b" }, { sharedKey: "another key" });
    b.setPeerAddresses([a.self().peer]);
    await waitUntil(() => counters.get("peer_auth_failures") > 0);
    t.deepEqual(a.peers(), []);
    t.deepEqual(b.peers(), []);
});

test("bad frames end only the link that carried them", async t => {
    const counters = new Counters();
    const a = await startHub(t, { instance: "a" }, { counters });
    const b = await startHub(t, { instance: "b" });
    a.setPeerAddresses([b.self().peer]);
    await waitUntilJoined(a, b);
    b.handle("ledger.holdings", () => Promise.resolve({ available: 3 }));
    const oversized = Buffer.from([0xff, 0xff, 0xff, 0xff]);
    const frames = [oversized, encodeFrame(Buffer.from([0xff])), encodeFrame(Buffer.from("no hello")), Buffer.alloc(4)];
    for (const bytes of frames) {
        const socket = await connectRaw(t, a);
        const closed = once(socket, "close");
        socket.resume();
        socket.write(bytes);
        await closed;
    }
    await waitUntil(() => counters.get("peer_frame_errors") === frames.length);
    t.deepEqual(await a.request("b-1", "ledger.holdings", { budget: "x" }, 10_000), { available: 3 });
});

test("a request too large for a frame fails and does not affect the link", async t => {
    const a = await startHub(t, { instance: "a" }, { maxFrameBytes: 5_000 });
    const b = await startHub(t, { instance: "b" }, { maxFrameBytes: 5_000 });
    b.handle("ledger.holdings", () => Promise.resolve({ available: 3 }));
    a.setPeerAddresses([b.self().peer]);
    await waitUntilJoined(a, b);
    const large = { budget: "x".repeat(5_000) };
    const err = await t.throwsAsync(a.request("b-1", "ledger.holdings", large, 10_000));
    t.true(hasResult(err, "peerUnavailable"));
    t.deepEqual(await a.request("b-1", "ledger.holdings", { budget: "x" }, 10_000), { available: 3 });
});

test("a lost connection fails pending requests, and the hubs link again without a membership change", async t => {
    // Neither can be dialled at what it says of itself, so that the relay carries the only link.
    const a = await startHub(t, { instance: "a", peer: NOWHERE });
    const b = await startHub(t, { instance: "b", peer: NOWHERE });
    const relay = await startRelay(t, { host: "127.0.0.1", port: b.listenPort });
    let requestCount = 0;
    b.handle("config.get", () => (requestCount++, NEVER));
    b.handle("ledger.holdings", () => Promise.resolve({ available: 1 }));
    a.setPeerAddresses([relay.address]);
    await waitUntilJoined(a, b);
    const changes = recordChanges(a);
    const pending = a.request("b-1", "config.get", {}, 600_000);
    const failure = t.throwsAsync(pending);
    await waitUntil(() => requestCount === 1);
    relay.destroyConnections();
    t.true(hasResult(await failure, "peerUnavailable"));
    await waitUntil(() => a.linkCount === 1);
    t.deepEqual(await a.request("b-1", "ledger.holdings", { budget: "x" }, 10_000), { available: 1 });
    t.deepEqual(changes, []);
});

test("a peer that times out is lost and its pending requests fail", async t => {
    // Neither can be dialled at what it says of itself, so that the relay carries the only link.
    const a = await startHub(t, { instance: "a", peer: NOWHERE }, { peerTimeoutMs: 200 });
    const b = await startHub(t, { instance: "b", peer: NOWHERE });
    const relay = await startRelay(t, { host: "127.0.0.1", port: b.listenPort });
    b.handle("config.get", () => NEVER);
    a.setPeerAddresses([relay.address]);
    await waitUntilJoined(a, b);
    const changes = recordChanges(a);
    const failure = t.throwsAsync(a.request("b-1", "config.get", {}, 600_000));
    relay.pause();
    t.true(hasResult(await failure, "peerUnavailable"));
    t.is(changes[0]?.kind, "lost");
});

test("a leaving state and a new revision reach the other instances", async t => {
    const a = await startHub(t, { instance: "a" });
    const b = await startHub(t, { instance: "b" });
    a.setPeerAddresses([b.self().peer]);
    await waitUntilJoined(a, b);
    a.updateSelf({ state: "leaving", configRevision: 7 });
    await waitUntil(() => b.peers().some(info => info.state === "leaving" && info.configRevision === 7));
    t.is(b.peers().length, 1);
});

test("a new incarnation replaces the old one and handles only requests for its own id", async t => {
    const a = await startHub(t, { instance: "a" });
    const b = await startHub(t, { instance: "b" });
    b.handle("ledger.holdings", () => Promise.resolve({ available: 1 }));
    a.setPeerAddresses([b.self().peer]);
    await waitUntilJoined(a, b);
    const changes = recordChanges(a);
    b.updateSelf({ incarnation: "b-2" });
    await waitUntil(() => changes.length === 2);
    const seen = changes.map(change => `${change.kind} ${change.info.incarnation}`);
    t.deepEqual(seen, ["lost b-1", "joined b-2"]);
    await t.throwsAsync(a.request("b-1", "ledger.holdings", { budget: "x" }, 10_000));
    t.deepEqual(await a.request("b-2", "ledger.holdings", { budget: "x" }, 10_000), { available: 1 });
});

test("a goodbye removes the peer immediately", async t => {
    const a = await startHub(t, { instance: "a" });
    const b = await startHub(t, { instance: "b" });
    a.setPeerAddresses([b.self().peer]);
    await waitUntilJoined(a, b);
    const changes = recordChanges(a);
    await b.close();
    await waitUntil(() => changes.length > 0);
    t.deepEqual(changes.map(change => change.kind), ["lost"]);
});

test("two hubs that dial each other at the same time keep one link and lose no request", async t => {
    const a = await startHub(t, { instance: "a" });
    const b = await startHub(t, { instance: "b" });
    let handledCount = 0;
    b.handle("ledger.holdings", () => Promise.resolve({ available: ++handledCount }));
    a.handle("ledger.holdings", () => Promise.resolve({ available: ++handledCount }));
    a.setPeerAddresses([b.self().peer]);
    b.setPeerAddresses([a.self().peer]);
    await waitUntilJoined(a, b);
    const ask = (from: TcpPeerHub, to: string): Promise<unknown> =>
        from.request(to, "ledger.holdings", { budget: "x" }, 10_000);
    const requests = [...Array(100).keys()].flatMap(() => [ask(a, "b-1"), ask(b, "a-1")]);
    await Promise.all(requests);
    t.is(handledCount, 200);
    await waitUntil(() => a.linkCount === 1 && b.linkCount === 1);
});

test("instances learn of each other from a common peer", async t => {
    const a = await startHub(t, { instance: "a" });
    const b = await startHub(t, { instance: "b" });
    const c = await startHub(t, { instance: "c" });
    b.setPeerAddresses([a.self().peer]);
    c.setPeerAddresses([a.self().peer]);
    await waitUntilJoined(a, b, c);
    t.deepEqual(b.peers().map(info => info.instance).sort(), ["a", "c"]);
});
