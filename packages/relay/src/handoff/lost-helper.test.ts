import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { type HandoffPairOptions, startHandoffPair } from "../fixtures/handoff-pair.js";
import { startRawHelper } from "../fixtures/raw-helper.js";
import { createRawRequest, openCaller, readUntilEnd } from "../fixtures/relay-path.js";
import type { RequestTerms } from "./handed-off-connection.js";

/** Time for which a helper counts as lost, in milliseconds. */
const LOST_MS = 200;

/** Time of requests that does not end in a test, in milliseconds. */
const LONG_MS = 60_000;

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

/** Reads a connection until a text has arrived; fails once it ends before. */
const readUntil = async (socket: Socket, text: string): Promise<string> => {
    let read = "";
    socket.on("error", () => undefined);
    while (!read.includes(text)) {
        const ended = socket.destroyed ? [] : once(socket, "close");
        const [chunk] = await Promise.race([ended, once(socket, "data")]) as [unknown];
        if (!Buffer.isBuffer(chunk)) {
            throw new Error(`the connection ended after ${JSON.stringify(read)}`);
        }
        read += chunk.toString("latin1");
    }
    return read;
};

// Guards against kept connections that an instance without a fault resets while a target runs their requests.
test("an answer that has begun goes on through a helper that counts as lost for a while", async t => {
    let finish: () => void = () => undefined;
    const { ports, cut } = await start(t, {
        serve: async (_req, caller) => {
            caller.startStream({ status: 200, headers: [], isFramed: true });
            await caller.sendEvents(Buffer.from("id: 1\n\n"), new AbortController().signal);
            await new Promise<void>(resolve => {
                finish = resolve;
            });
            await caller.sendEvents(Buffer.from("id: 2\n\n"), new AbortController().signal);
            caller.endStream();
        },
    });
    const caller = await openCaller(ports.small.listenPort, createRawRequest("a"));
    await readUntil(caller, "id: 1");
    cut();
    await sleep(LOST_MS);
    finish();
    t.regex(await readUntil(caller, "\r\n0\r\n\r\n"), /id: 2/);
    caller.destroy();
});

/** Starts a pair with a helper that never answers, and a caller whose request it has read. */
const startUnanswered = async (t: ExecutionContext, terms: RequestTerms) => {
    let hasLeft = false;
    let answer: () => void = () => undefined;
    const pair = await start(t, {
        terms,
        serve: async (req, caller) =>
            await new Promise(resolve => {
                caller.disconnectSignal.addEventListener("abort", () => {
                    hasLeft = true;
                    resolve();
                });
                answer = () => {
                    resolve(
                        caller.sendResponse(
                            { status: 200, headers: [], isFramed: true },
                            Buffer.from(`late ${req.id}`),
                        ),
                    );
                };
            }),
    });
    const caller = await openCaller(pair.ports.small.listenPort, createRawRequest("a"));
    await until(t, () => pair.requests.length === 1);
    return { ...pair, caller, answer: () => answer(), hasLeft: () => hasLeft };
};

// Guards against waiting for a helper that cannot be reached while another target could answer.
test("a request that may be repeated is served here once its helper is lost", async t => {
    const { caller, cut, requests, hasLeft } = await startUnanswered(t, {
        acquireRepeat: () => true,
        endsAtMs: performance.now() + LONG_MS,
    });
    cut();
    t.regex(await readUntil(caller, "\r\n\r\na"), /served-by: small/);
    t.true(requests.at(-1)?.isInterrupted);
    t.is(requests.at(-1)?.id, "a");
    t.true((requests.at(-1)?.arrivedAtMs ?? Infinity) <= (requests[0]?.arrivedAtMs ?? 0));
    await until(t, hasLeft);
    caller.destroy();
});

// Guards against requests that are given up while their helper is only out of touch for a moment.
test("a request that may run once only is answered by its helper when that is back in time", async t => {
    const { caller, cut, answer, requests } = await startUnanswered(t, {
        acquireRepeat: () => false,
        endsAtMs: performance.now() + LONG_MS,
    });
    cut();
    await sleep(LOST_MS);
    answer();
    await readUntil(caller, "late a");
    t.is(requests.length, 1);
    caller.destroy();
});

test("a request that may run once only is given up when its time is over", async t => {
    const { caller, cut, requests, counts } = await startUnanswered(t, {
        acquireRepeat: () => false,
        endsAtMs: performance.now() + LOST_MS,
    });
    cut();
    await readUntil(caller, "served-by: small");
    t.deepEqual(requests.map(({ isInterrupted }) => isInterrupted), [false, true]);
    t.is(counts.get("handed_off_requests_interrupted"), 1);
    caller.destroy();
});

// Guards against a request that is taken for sent although its body has not arrived.
test("a request whose body is still arriving is served here as a new one", async t => {
    const { ports, handoff, cut, requests } = await start(t);
    const caller = await openCaller(ports.small.listenPort, createRawRequest("a", "Content-Length: 4\r\n"));
    caller.write("12");
    await until(t, () => handoff.openConnections === 1);
    await sleep(LOST_MS);
    cut();
    caller.write("34");
    await readUntil(caller, "\r\n\r\na");
    const { isInterrupted, body } = requests.at(-1) ?? {};
    t.deepEqual({ isInterrupted, body: body?.toString() }, { isInterrupted: false, body: "1234" });
    caller.destroy();
});

test("a request behind one that its helper answered is served here as a new one", async t => {
    let finish: () => void = () => undefined;
    const { ports, cut, requests } = await start(t, {
        terms: { acquireRepeat: () => false, endsAtMs: performance.now() + LONG_MS },
        serve: async (req, caller) => {
            await new Promise<void>(resolve => {
                finish = resolve;
            });
            await caller.sendResponse({ status: 200, headers: [], isFramed: true }, Buffer.from(`large ${req.id}`));
        },
    });
    const caller = await openCaller(ports.small.listenPort, createRawRequest("a") + createRawRequest("b"));
    await until(t, () => requests.length === 1);
    caller.write(createRawRequest("c"));
    const text = readUntil(caller, "\r\n\r\nc");
    // Long enough for a second request to arrive at the helper, if it were sent.
    await sleep(LOST_MS);
    cut();
    finish();
    t.regex(await text, /large a[^]*served-by: small[^]*\r\n\r\nb[^]*served-by: small/);
    t.deepEqual(requests.map(({ id, isInterrupted }) => [id, isInterrupted]), [["a", false], ["b", false], [
        "c",
        false,
    ]]);
    caller.destroy();
});

// Guards against callers that stay at a helper, whose faults then are theirs.
for (const cause of ["its helper leaves", "the load has fallen"]) {
    test(`a connection is served here again between two requests when ${cause}`, async t => {
        const { ports, policy, hubs, handoff } = await start(t);
        const caller = await openCaller(ports.small.listenPort, createRawRequest("a"));
        t.regex(await readUntil(caller, "\r\n\r\na"), /served-by: large/);
        if (cause === "its helper leaves") {
            hubs.large.updateSelf({ state: "leaving" });
        }
        else {
            policy.isHandingOff = false;
        }
        await until(t, () => handoff.openConnections === 0);
        caller.write(createRawRequest("b"));
        t.regex(await readUntil(caller, "\r\n\r\nb"), /served-by: small/);
        caller.destroy();
    });
}

// Guards against requests that end without a status at the end of a stop.
test("a request that a helper has not answered by the end of a stop is answered here", async t => {
    const { caller, handoff, requests } = await startUnanswered(t, {
        acquireRepeat: () => false,
        endsAtMs: performance.now() + LONG_MS,
    });
    handoff.stop();
    handoff.closeAll();
    await readUntil(caller, "served-by: small");
    t.true(requests.at(-1)?.isInterrupted);
    caller.destroy();
});

test("an answer to a request that cannot be followed goes on through a helper that counts as lost for a while", async t => {
    let finish: () => void = () => undefined;
    const { ports, cut, requests } = await start(t, {
        serve: async (req, caller) => {
            await new Promise<void>(resolve => {
                finish = resolve;
            });
            await caller.sendResponse({ status: 200, headers: [], isFramed: true }, Buffer.from(`large ${req.id}`));
        },
    });
    // The parser of the helper accepts the second space, the one here does not.
    const caller = await openCaller(ports.small.listenPort, createRawRequest("a").replace("GET ", "GET  "));
    await until(t, () => requests.length === 1);
    cut();
    await sleep(LOST_MS);
    finish();
    await readUntil(caller, "large a");
    caller.destroy();
});

// Guards against bytes of a helper that follow an answer on a connection which is served here again.
test("what a helper sends behind a whole answer does not reach a caller whose connection has come back", async t => {
    const pair = await startHandoffPair();
    const { hubs } = pair;
    let answer: () => void = () => undefined;
    const helper = await startRawHelper(pair, socket => {
        socket.on("data", () => {
            answer = () => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n\r\nstray");
        });
    });
    t.teardown(() => helper.close());
    await until(t, () => pair.handoff.isActive);
    const caller = await openCaller(pair.ports.small.listenPort, createRawRequest("a"));
    await sleep(LOST_MS);
    hubs.large.updateSelf({ state: "leaving" });
    await sleep(0);
    answer();
    await readUntil(caller, "\r\n\r\na");
    caller.write(createRawRequest("b"));
    t.notRegex(await readUntil(caller, "\r\n\r\nb"), /stray/);
    caller.destroy();
});

// Guards against idle connections that are closed while their caller sends the next request.
test("a connection without a request is served here once its helper is lost", async t => {
    const { ports, handoff, cut } = await start(t);
    const caller = await openCaller(ports.small.listenPort, createRawRequest("a"));
    t.regex(await readUntil(caller, "\r\n\r\na"), /served-by: large/);
    cut();
    caller.write(createRawRequest("b"));
    t.regex(await readUntil(caller, "\r\n\r\nb"), /served-by: small/);
    await until(t, () => handoff.openConnections === 0);
    caller.destroy();
});

// Guards against requests whose callers learn nothing when the process that served them was killed.
test("a request is answered though its helper's process ends before the answer begins", async t => {
    const pair = await startHandoffPair();
    const helper = await startRawHelper(pair, socket => {
        socket.once("data", () => {
            pair.network.disconnect(pair.hubs.large);
            socket.destroy();
        });
    });
    t.teardown(() => helper.close());
    await until(t, () => pair.handoff.isActive);
    const caller = await openCaller(pair.ports.small.listenPort, createRawRequest("a", "Connection: close\r\n"));
    t.regex((await readUntilEnd(caller)).text, /^HTTP\/1\.1 /);
});
