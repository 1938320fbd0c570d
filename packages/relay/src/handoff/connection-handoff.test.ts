import { connect } from "@ospreyreel/peer";
import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { type HandoffPairOptions, startHandoffPair } from "../fixtures/handoff-pair.js";
import { startRawHelper } from "../fixtures/raw-helper.js";
import { createRawRequest, openCaller, readUntilEnd } from "../fixtures/relay-path.js";

/** Time after which a connection to the larger instance counts as late, in milliseconds. */
const LATE_MS = 150;

const HEAD = { status: 200, headers: [], isFramed: true };

/** Waits for a condition, as long as a busy machine may need. */
const until = async (t: ExecutionContext, isMet: () => boolean): Promise<void> => {
    const endsAtMs = performance.now() + 10_000;
    while (!isMet() && performance.now() < endsAtMs) {
        await sleep(10);
    }
    t.true(isMet());
};

/** Starts a pair; resolves once the small instance hands connections off. */
const start = async (t: ExecutionContext, opts: HandoffPairOptions = {}) => {
    const pair = await startHandoffPair(opts);
    t.teardown(() => pair.close());
    await pair.start();
    await until(t, () => pair.handoff.isActive);
    return pair;
};

/** Reads a connection until a text has arrived. */
const readUntil = async (socket: Socket, text: string): Promise<string> => {
    let read = "";
    while (!read.includes(text)) {
        const [chunk] = await once(socket, "data") as [Buffer];
        read += chunk.toString("latin1");
    }
    return read;
};

test("callers of an overloaded instance are served by a larger one, each request once and whole", async t => {
    const { ports, requests, counts } = await start(t);
    const caller = await openCaller(ports.small.listenPort, createRawRequest("a"));
    t.regex(await readUntil(caller, "\r\n\r\na"), /^HTTP\/1\.1 200 [^]*served-by: large/);
    caller.write(createRawRequest("b", "Connection: close\r\n"));
    const { text, end } = await readUntilEnd(caller);
    t.regex(text, /served-by: large[^]*\r\n\r\nb$/);
    t.is(end, "closed");
    t.deepEqual(requests.map(({ id }) => id), ["a", "b"]);
    t.is(counts.get("connections_handed_off"), 1);
    // The larger instance's own overload is judged by all that it reads.
    t.is(ports.large.readRequests, 2);
    t.is(ports.large.ownRequests, 0);
});

test("a caller that leaves ends its request at the instance that serves it", async t => {
    let left = false;
    const { ports, requests } = await start(t, {
        serve: async (_req, caller) =>
            await new Promise(resolve =>
                caller.disconnectSignal.addEventListener("abort", () => {
                    left = true;
                    resolve();
                })
            ),
    });
    const caller = await openCaller(ports.small.listenPort, createRawRequest("a"));
    await until(t, () => requests.length === 1);
    caller.destroy();
    await until(t, () => left);
});

test("a stream that breaks off at the serving instance does not look complete", async t => {
    const { ports } = await start(t, {
        serve: async (_req, caller) => {
            caller.startStream(HEAD);
            await caller.sendEvents(Buffer.from("id: 1\n\n"), new AbortController().signal);
            caller.abortStream();
        },
    });
    const { text } = await readUntilEnd(await openCaller(ports.small.listenPort, createRawRequest("a")));
    t.regex(text, /id: 1/);
    t.notRegex(text, /\r\n0\r\n/);
});

/** Takes connections like an instance does, and answers with a response that ends with its connection. */
const startUnframedHelper = async (t: ExecutionContext, beforeEnd: (stop: () => void) => void) => {
    const pair = await startHandoffPair();
    const helper = await startRawHelper(pair, socket => {
        socket.once("data", () => {
            socket.write("HTTP/1.1 200 OK\r\n\r\nhalf", () => {
                beforeEnd(() => pair.network.disconnect(pair.hubs.large));
                socket.end();
            });
        });
    });
    t.teardown(() => helper.close());
    await until(t, () => pair.handoff.isActive);
    return pair;
};

test("a response without a length is not taken for whole when the process that sent it was killed", async t => {
    const { ports } = await startUnframedHelper(t, stop => stop());
    const { end } = await readUntilEnd(await openCaller(ports.small.listenPort, createRawRequest("a")));
    t.is(end, "reset");
});

test("a response without a length ends as it does without a hand-off", async t => {
    const { ports } = await startUnframedHelper(t, () => undefined);
    const { text, end } = await readUntilEnd(await openCaller(ports.small.listenPort, createRawRequest("a")));
    t.regex(text, /half$/);
    t.is(end, "closed");
});

test("a caller is served here when the larger instance accepts no connection any more", async t => {
    const { ports, handoffPort, handoff } = await start(t);
    handoffPort.close();
    const caller = await openCaller(ports.small.listenPort, createRawRequest("a"));
    t.regex(await readUntil(caller, "\r\n\r\na"), /served-by: small/);
    t.false(handoff.isActive);
    caller.destroy();
});

// Guards against a team that is starved at a small instance, since one late connection ended the hand-off for all its callers.
test("a connection to the larger instance that is late ends the hand-off for its caller only", async t => {
    let opened = 0;
    const { ports, handoff, counts, log } = await start(t, {
        connect: async (address, timeoutMs, signal) => {
            opened += 1;
            return await connect(address, timeoutMs, opened === 1 ? AbortSignal.abort() : signal);
        },
    });
    const first = await openCaller(ports.small.listenPort, createRawRequest("a"));
    t.regex(await readUntil(first, "\r\n\r\na"), /served-by: small/);
    t.true(handoff.isActive);
    const second = await openCaller(ports.small.listenPort, createRawRequest("b"));
    t.regex(await readUntil(second, "\r\n\r\nb"), /served-by: large/);
    t.is(counts.get("handed_off_connections_late"), 1);
    t.false(log.lines.some(({ event }) => event === "connections kept"));
    [first, second].forEach(caller => caller.destroy());
});

// Guards against the same where the larger instance was given up before, and serves callers from before that.
test("a connection that is late after the larger instance has accepted again ends the hand-off for its caller only", async t => {
    let isLate = false;
    const { ports, handoff, log } = await start(t, {
        connect: async (address, timeoutMs, signal) => {
            if (isLate) {
                await sleep(LATE_MS);
            }
            return await connect(address, timeoutMs, isLate ? AbortSignal.abort() : signal);
        },
    });
    const countKept = (): number => log.lines.filter(({ event }) => event === "connections kept").length;
    const kept = await openCaller(ports.small.listenPort, createRawRequest("a"));
    t.teardown(() => kept.destroy());
    t.regex(await readUntil(kept, "\r\n\r\na"), /served-by: large/);
    const askLate = async (): Promise<void> => {
        const caller = await openCaller(ports.small.listenPort, createRawRequest("b"));
        t.regex(await readUntil(caller, "\r\n\r\nb"), /served-by: small/);
        caller.destroy();
    };
    isLate = true;
    for (let asked = 0; countKept() === 0 && asked < 20; asked++) {
        await askLate();
    }
    t.is(countKept(), 1);
    await until(t, () => handoff.isActive);
    await askLate();
    t.is(countKept(), 1);
    t.true(handoff.isActive);
});

test("a caller that leaves while its connection is handed off keeps nothing open", async t => {
    const { ports, handoff, requests } = await start(t);
    const caller = await openCaller(ports.large.listenPort, "");
    caller.destroy();
    await once(caller, "close");
    t.true(handoff.handOff(caller, () => t.fail("a connection that has ended was served")));
    await until(t, () => handoff.openConnections === 0);
    t.deepEqual(requests, []);
});

test("new connections are served here once the instance that took them is lost", async t => {
    const { ports, requests, hubs, handoff, network } = await start(t, { serve: () => new Promise(() => undefined) });
    const caller = await openCaller(ports.small.listenPort, createRawRequest("a", "Connection: close\r\n"));
    await until(t, () => requests.length === 1);
    network.disconnect(hubs.large);
    hubs.small.sendChange({ kind: "lost", info: hubs.large.self() });
    // The time of this request is not known, so that it is given up at once; its caller gets a response.
    t.regex((await readUntilEnd(caller)).text, /^HTTP\/1\.1 /);
    t.is(requests.at(-1)?.isInterrupted, true);
    await until(t, () => handoff.openConnections === 0);
    const next = await openCaller(ports.small.listenPort, createRawRequest("b"));
    t.regex(await readUntil(next, "\r\n\r\nb"), /served-by: small/);
    next.destroy();
});

test("requests of one connection are not decided by an older desired state than their instance has", async t => {
    const { ports, requests, versions, hubs } = await start(t);
    const caller = await openCaller(ports.small.listenPort, createRawRequest("a"));
    await readUntil(caller, "\r\n\r\na");
    t.is(requests.at(-1)?.minVersion, 1);
    versions.small = 2;
    hubs.small.updateSelf({ configRevision: 2 });
    await sleep(0);
    caller.write(createRawRequest("b"));
    await readUntil(caller, "\r\n\r\nb");
    t.is(requests.at(-1)?.minVersion, 2);
    t.true(requests.at(-1)?.keepsVersion);
    caller.destroy();
});

test("an instance decides by no older desired state than its callers have seen at a peer", async t => {
    const { ports, requests, versions, policy, handoff } = await start(t);
    versions.large = 3;
    await until(t, () => handoff.servedVersion === 3);
    policy.isHandingOff = false;
    await until(t, () => !handoff.isActive);
    const caller = await openCaller(ports.small.listenPort, createRawRequest("a"));
    t.regex(await readUntil(caller, "\r\n\r\na"), /served-by: small/);
    t.is(requests.at(-1)?.minVersion, 3);
    caller.destroy();
});

test("an instance with an older desired state takes no connections", async t => {
    const pair = await startHandoffPair({ versions: { small: 2, large: 2 } });
    t.teardown(() => pair.close());
    pair.versions.large = 1;
    await pair.start();
    await until(t, () => pair.log.lines.some(({ event }) => event === "connections not taken"));
    t.false(pair.handoff.isActive);
});

test("an instance that is busy itself gets no further connections", async t => {
    const { ports, handoff, state } = await start(t);
    state.refusal = "the peer is busy itself";
    await until(t, () => !handoff.isActive);
    const caller = await openCaller(ports.small.listenPort, createRawRequest("a"));
    t.regex(await readUntil(caller, "\r\n\r\na"), /served-by: small/);
    caller.destroy();
});

test("a stopping instance lets the requests of handed-off connections end, and its idle ones are closed", async t => {
    let finish: () => void = () => undefined;
    const { ports, hubs, handoff, requests } = await start(t, {
        serve: async (req, caller) => {
            if (req.id === "slow") {
                await new Promise<void>(resolve => {
                    finish = resolve;
                });
            }
            await caller.sendResponse(HEAD, Buffer.from(`whole ${req.id}`));
        },
    });
    const idle = await openCaller(ports.small.listenPort, createRawRequest("fast"));
    await readUntil(idle, "whole fast");
    const slow = await openCaller(ports.small.listenPort, createRawRequest("slow"));
    await until(t, () => requests.length === 2);
    hubs.small.updateSelf({ state: "leaving" });
    handoff.stop();
    t.is((await readUntilEnd(idle)).end, "closed");
    await until(t, () => handoff.openConnections === 1);
    finish();
    const { text, end } = await readUntilEnd(slow);
    t.regex(text, /Connection: close[^]*whole slow$/);
    t.is(end, "closed");
    await until(t, () => handoff.openConnections === 0);
});

test("a connection without a valid ticket is closed unread", async t => {
    const { requests, counts, hubs } = await start(t);
    const res = await hubs.small.request(hubs.large.self().incarnation, "connections.take", { version: 1 });
    t.is(res.kind, "accepted");
    if (res.kind === "accepted") {
        const stranger = await openCaller(res.address.port, `${"x".repeat(16)}${createRawRequest("a")}`);
        await readUntilEnd(stranger);
    }
    t.deepEqual(requests, []);
    t.is(counts.get("connections_rejected"), 1);
});
