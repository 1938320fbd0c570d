import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { isDeepStrictEqual } from "node:util";
import type { CallerExchange } from "../caller-exchange.js";
import type { CallerBounds } from "../document/relay-document.js";
import { pauseProcess } from "../fixtures/pause-process.js";
import { PlainCallerProtocol } from "../fixtures/plain-protocol.js";
import type { RelayRequest } from "../relay-request.js";
import { getCallerLimits } from "./caller-limits.js";
import { HttpCallerPort } from "./http-caller-port.js";

const HOST = "127.0.0.1";
const LATE_WRITE_MS = 50;
const SMALL_BOUNDS: CallerBounds = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 10_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
};
const BODY = "x".repeat(20_000);

/** More than half of what the bodies of all requests may take together. */
const LARGE_BODY_BYTES = 7_000_000;

const createMessage = (id: string): string =>
    `POST /x HTTP/1.1\r\nHost: users.example\r\nid: ${id}\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`;

/** Waits until a value is as expected, as long as a busy machine may need, and asserts it. */
const eventuallyIs = async (t: ExecutionContext, read: () => unknown, expected: unknown): Promise<void> => {
    const endsAtMs = performance.now() + 10_000;
    while (!isDeepStrictEqual(read(), expected) && performance.now() < endsAtMs) {
        await sleep(10);
    }
    t.deepEqual(read(), expected);
};

const LARGE_RESPONSE = Buffer.alloc(24 * 1_024 * 1_024, "y");

/** A port that responds to each request immediately and records whether the caller had disconnected by then. */
const open = async (t: ExecutionContext, bounds?: CallerBounds) => {
    const callerStates: Record<string, "there" | "left"> = {};
    const port = new HttpCallerPort({
        host: HOST,
        port: 0,
        protocol: new PlainCallerProtocol(),
        getBounds: () => bounds,
        serve: (req: RelayRequest, caller) => {
            callerStates[req.id] = caller.disconnectSignal.aborted ? "left" : "there";
            caller.refuse({ reason: "noTarget", retryAfterS: 1 });
            return Promise.resolve();
        },
    });
    await port.start();
    t.teardown(() => port.close(0));
    return { callerStates, port: port.listenPort, callers: port };
};

/** Sends a request as soon as the connection is open; ends the connection with it if `leaves` is set. */
const send = (port: number, id: string, leaves: boolean): Socket => {
    const socket = connect(port, HOST).on("error", () => undefined);
    socket.once("connect", () => leaves ? socket.end(createMessage(id)) : socket.write(createMessage(id)));
    return socket;
};

test("load pattern, callers that disconnect while their connections wait: the disconnect is detected", async t => {
    const { callerStates, port } = await open(t);
    ["a", "b", "c"].forEach(id => send(port, id, true));
    const stays = send(port, "d", false);
    await eventuallyIs(t, () => callerStates, { a: "left", b: "left", c: "left", d: "there" });
    stays.destroy();
});

test("a connected caller is served with its complete body", async t => {
    const { callerStates, port } = await open(t);
    const socket = send(port, "a", false);
    const [response] = await once(socket, "data") as [Buffer];
    t.true(response.toString().startsWith("HTTP/1.1 503"));
    t.deepEqual(callerStates, { a: "there" });
    socket.destroy();
});

test("a slow caller gets its whole response though the port is closed meanwhile", async t => {
    const port = new HttpCallerPort({
        host: HOST,
        port: 0,
        protocol: new PlainCallerProtocol(),
        getBounds: () => undefined,
        serve: (_req, caller) => caller.sendResponse({ status: 200, headers: [], isFramed: true }, LARGE_RESPONSE),
    });
    await port.start();
    const socket = send(port.listenPort, "a", false);
    let bytes = 0;
    socket.on("data", (chunk: Buffer) => bytes += chunk.length);
    await once(socket, "data");
    socket.pause();
    t.is(port.openExchanges, 1);
    const closed = port.close(5_000);
    await sleep(100);
    const ended = once(socket, "end");
    socket.resume();
    await Promise.all([ended, closed]);
    t.true(bytes > LARGE_RESPONSE.length, String(bytes));
    await eventuallyIs(t, () => port.openExchanges, 0);
});

test("a body that is still being read keeps its request open", async t => {
    const { callerStates, port, callers } = await open(t);
    const socket = connect(port, HOST).on("error", () => undefined);
    const message = createMessage("a");
    socket.write(message.slice(0, -1));
    await eventuallyIs(t, () => callers.openExchanges, 1);
    socket.write(message.slice(-1));
    await once(socket, "data");
    t.deepEqual(callerStates, { a: "there" });
    await eventuallyIs(t, () => callers.openExchanges, 0);
    socket.destroy();
});

// Guards against an instance whose memory the bodies of many requests take, and that ends with all of them.
test.serial("a request whose body finds no room beside those of others is refused as not run, until they have ended", async t => {
    let finish = (): void => undefined;
    const served: string[] = [];
    const port = new HttpCallerPort({
        host: HOST,
        port: 0,
        protocol: new PlainCallerProtocol(),
        getBounds: () => ({ ...SMALL_BOUNDS, maxBodyBytes: 2 * LARGE_BODY_BYTES }),
        serve: async ({ id, body }, caller) => {
            served.push(`${id} ${body.length}`);
            if (id === "a") {
                await new Promise<void>(resolve => finish = resolve);
            }
            await caller.sendResponse({ status: 200, headers: [], isFramed: true }, Buffer.from(`whole ${id}`));
        },
    });
    await port.start();
    t.teardown(() => port.close(0));
    const sendBody = (id: string, bytes: number) => {
        const state = { text: "" };
        const socket = connect(port.listenPort, HOST).on("error", () => undefined);
        t.teardown(() => socket.destroy());
        socket.on("data", chunk => state.text += chunk.toString("latin1"));
        socket.write(`POST /x HTTP/1.1\r\nHost: users.example\r\nid: ${id}\r\nContent-Length: ${bytes}\r\n\r\n`);
        socket.write(Buffer.alloc(bytes, "x"));
        return state;
    };
    sendBody("a", LARGE_BODY_BYTES);
    await eventuallyIs(t, () => port.heldRequestBytes, LARGE_BODY_BYTES);
    const refused = sendBody("b", LARGE_BODY_BYTES);
    await eventuallyIs(t, () => refused.text.startsWith("HTTP/1.1 503 "), true);
    t.regex(refused.text, /overloaded/);
    const small = sendBody("c", BODY.length);
    await eventuallyIs(t, () => small.text.endsWith("whole c"), true);
    finish();
    await eventuallyIs(t, () => port.heldRequestBytes, 0);
    const again = sendBody("d", LARGE_BODY_BYTES);
    await eventuallyIs(t, () => again.text.endsWith("whole d"), true);
    t.deepEqual(served, [`a ${LARGE_BODY_BYTES}`, `c ${BODY.length}`, `d ${LARGE_BODY_BYTES}`]);
});

// Guards against callers that stall within a body, and whose requests hold memory without end.
test("a request whose body has not arrived when its caller's time is over is refused as not run", async t => {
    const { callerStates, port, callers } = await open(t);
    const socket = connect(port, HOST).on("error", () => undefined);
    t.teardown(() => socket.destroy());
    let text = "";
    socket.on("data", chunk => text += chunk.toString("latin1"));
    socket.write(createMessage("a").replace("id: a", "id: a\r\nwaits-ms: 300").slice(0, -1));
    await eventuallyIs(t, () => callers.openExchanges, 1);
    t.is(text, "");
    await eventuallyIs(t, () => /^HTTP\/1\.1 503 [^]*Connection: close[^]*timedOutUnsent/.test(text), true);
    await eventuallyIs(t, () => callers.heldRequestBytes, 0);
    t.deepEqual(callerStates, {});
});

test("a request that waits behind another one does not stay open after its connection", async t => {
    const port = new HttpCallerPort({
        host: HOST,
        port: 0,
        protocol: new PlainCallerProtocol(),
        getBounds: () => undefined,
        serve: () => new Promise(() => undefined),
    });
    await port.start();
    t.teardown(() => port.close(0));
    const socket = connect(port.listenPort, HOST).on("error", () => undefined);
    socket.write(createMessage("a") + createMessage("b"));
    await eventuallyIs(t, () => port.openExchanges, 2);
    socket.destroy();
    await eventuallyIs(t, () => port.openExchanges, 0);
});

test("a request whose body is still arriving when a stop ends is refused, not cut", async t => {
    const { callerStates, port, callers } = await open(t);
    const socket = connect(port, HOST).on("error", () => undefined);
    socket.write(createMessage("a").slice(0, -1));
    await eventuallyIs(t, () => callers.openExchanges, 1);
    const answer = once(socket, "data") as Promise<[Buffer]>;
    const unsent = await callers.close(5_000);
    const [response] = await answer;
    t.regex(response.toString(), /^HTTP\/1.1 503 [^]*Connection: close[^]*leaving/);
    t.is(unsent, 0);
    t.deepEqual(callerStates, {});
    socket.destroy();
});

test("load pattern, connections that are opened just before a stop ends: their requests are answered", async t => {
    const { callerStates, port, callers } = await open(t);
    const socket = connect(port, HOST).on("error", () => undefined);
    await eventuallyIs(t, () => callers.newConnections, 1);
    const chunks: Buffer[] = [];
    socket.on("data", (chunk: Buffer) => chunks.push(chunk));
    const closed = once(socket, "close");
    const ended = callers.close(5_000);
    await sleep(LATE_WRITE_MS);
    socket.write(createMessage("a"));
    await Promise.all([ended, closed]);
    t.regex(Buffer.concat(chunks).toString(), /^HTTP\/1.1 503 [^]*Connection: close[^]*leaving/);
    t.deepEqual(callerStates, {});
});

test("a connection that brings no request does not hold up a stop", async t => {
    const { port, callers } = await open(t);
    const socket = connect(port, HOST).on("error", () => undefined);
    await eventuallyIs(t, () => callers.newConnections, 1);
    const startedAtMs = performance.now();
    await callers.close(60_000);
    t.true(performance.now() - startedAtMs < 30_000);
    socket.destroy();
});

/** Sends a head and then parts of a body later than the refusal, as a caller with a slow link does; returns what arrives. */
const sendSlowly = async (port: number, head: string, parts: readonly string[]): Promise<string> => {
    const chunks: Buffer[] = [];
    const socket = connect(port, HOST).on("data", chunk => chunks.push(chunk)).on("error", () => undefined);
    const closed = new Promise(resolve => socket.once("close", resolve));
    // As a caller does that is busy sending.
    socket.pause();
    socket.write(head);
    for (const part of parts) {
        await sleep(LATE_WRITE_MS);
        socket.write(part);
    }
    socket.resume();
    await closed;
    return Buffer.concat(chunks).toString();
};

test("a caller reads the refusal of its body while it is still sending", async t => {
    const { callerStates, port } = await open(t, SMALL_BOUNDS);
    const head = `POST /x HTTP/1.1\r\nHost: users.example\r\nid: a\r\nContent-Length: ${6 * BODY.length}\r\n\r\n`;
    t.regex(await sendSlowly(port, head, [BODY, BODY, BODY, BODY]), /^HTTP\/1\.1 413 [^]*bodyTooLarge/);
    t.deepEqual(callerStates, {});
});

test("a caller reads the refusal of its headers while it is still sending", async t => {
    const { callerStates, port } = await open(t);
    const long = `Long: ${"x".repeat(20_000)}`;
    const head = `POST /x HTTP/1.1\r\nHost: users.example\r\nid: a\r\n${long}\r\nContent-Length: 40000\r\n\r\n`;
    t.regex(await sendSlowly(port, head, [BODY, BODY, createMessage("b")]), /^HTTP\/1\.1 431 /);
    t.deepEqual(callerStates, {});
});

test("a request that follows a refused one on its connection is not served", async t => {
    const { callerStates, port } = await open(t);
    const refused = `POST /x HTTP/1.1\r\nHost: users.example\r\nid: a\r\nLong: ${"x".repeat(20_000)}\r\n\r\n`;
    t.regex(await sendSlowly(port, refused + createMessage("b"), [createMessage("c")]), /^HTTP\/1\.1 431 /);
    t.deepEqual(callerStates, {});
});

test("a request that has arrived behind another one is answered though the port starts to drain", async t => {
    const waiting: (() => void)[] = [];
    const port = new HttpCallerPort({
        host: HOST,
        port: 0,
        protocol: new PlainCallerProtocol(),
        getBounds: () => undefined,
        serve: async (req, caller) => {
            await new Promise<void>(resolve => waiting.push(resolve));
            await caller.sendResponse({ status: 200, headers: [], isFramed: true }, Buffer.from(`whole ${req.id}`));
        },
    });
    await port.start();
    t.teardown(() => port.close(0));
    const chunks: Buffer[] = [];
    const socket = connect(port.listenPort, HOST).on("data", chunk => chunks.push(chunk)).on("error", () => undefined);
    socket.write(createMessage("a") + createMessage("b"));
    await eventuallyIs(t, () => port.openExchanges, 2);
    port.drain();
    await eventuallyIs(t, () => waiting.length, 1);
    waiting[0]?.();
    await eventuallyIs(t, () => waiting.length, 2);
    waiting[1]?.();
    await once(socket, "end");
    const text = Buffer.concat(chunks).toString();
    t.regex(text, /whole a[^]*whole b/);
    t.is(text.match(/Connection: close/gi)?.length, 1);
});

test("a request whose handling fails ends its connection and is reported; other requests are served", async t => {
    const failures: unknown[] = [];
    const port = new HttpCallerPort({
        host: HOST,
        port: 0,
        protocol: new PlainCallerProtocol(),
        getBounds: () => undefined,
        serve: (req, caller) => {
            if (req.id === "broken") {
                return Promise.reject(new Error("a fault of the code"));
            }
            caller.refuse({ reason: "noTarget", retryAfterS: 1 });
            return Promise.resolve();
        },
        onFailure: err => failures.push(err),
    });
    await port.start();
    t.teardown(() => port.close(0));
    const broken = send(port.listenPort, "broken", false);
    const chunks: Buffer[] = [];
    broken.on("data", (chunk: Buffer) => chunks.push(chunk));
    await new Promise(resolve => broken.once("close", resolve));
    t.regex(Buffer.concat(chunks).toString(), /^HTTP\/1.1 502/);
    t.is(failures.length, 1);
    const other = send(port.listenPort, "other", false);
    const [response] = await once(other, "data") as [Buffer];
    t.regex(response.toString(), /^HTTP\/1.1 503/);
    other.destroy();
});

const HEAD = { status: 200, headers: [], isFramed: true };

/** A port with a way to serve, and one caller's connection to it. */
const connectTo = async (
    t: ExecutionContext,
    serve: (req: RelayRequest, caller: CallerExchange) => Promise<void>,
    bounds?: CallerBounds,
) => {
    const failures: unknown[] = [];
    const port = new HttpCallerPort({
        host: HOST,
        port: 0,
        protocol: new PlainCallerProtocol(),
        getBounds: () => bounds,
        serve,
        onFailure: err => failures.push(err),
    });
    await port.start();
    t.teardown(() => port.close(0));
    const state = { text: "", end: "" };
    const socket = connect(port.listenPort, HOST)
        .on("data", (chunk: Buffer) => state.text += chunk.toString("latin1"))
        .on("error", () => state.end = "reset")
        .on("close", () => state.end ||= "closed");
    t.teardown(() => socket.destroy());
    await once(socket, "connect");
    return { failures, socket, state };
};

// Guards against requests that were passed on and whose connection was reset, though nothing of a response had been sent.
test("a request whose handling fails before its response gets a status that promises nothing", async t => {
    const { failures, socket, state } = await connectTo(t, () => Promise.reject(new Error("a fault of the code")));
    socket.write(createMessage("a"));
    await eventuallyIs(t, () => state.end, "closed");
    t.regex(state.text, /^HTTP\/1\.1 502 [^]*Connection: close[^]*targetFailed/);
    t.is(failures.length, 1);
});

test("a response whose head cannot be written is replaced by a status that promises nothing", async t => {
    const head = { ...HEAD, headers: [["name", "\0"]] } as const;
    const { socket, state } = await connectTo(t, (_req, caller) => caller.sendResponse(head, Buffer.from("whole")));
    socket.write(createMessage("a"));
    await eventuallyIs(t, () => state.end, "closed");
    t.regex(state.text, /^HTTP\/1\.1 502 [^]*targetFailed/);
    t.notRegex(state.text, /whole/);
});

test("a stream whose handling fails after its first event does not look complete", async t => {
    const { socket, state } = await connectTo(t, async (_req, caller) => {
        caller.startStream(HEAD);
        await caller.sendEvents(Buffer.from("id: 1\n\n"), new AbortController().signal);
        throw new Error("a fault of the code");
    });
    socket.write(createMessage("a"));
    await eventuallyIs(t, () => state.end, "reset");
    t.notRegex(state.text, /\r\n0\r\n/);
});

// Guards against a whole response that is lost with its connection, where what fails comes after it.
test("a response that was sent whole stays whole though its handling fails afterwards", async t => {
    const { failures, socket, state } = await connectTo(t, async (req, caller) => {
        caller.startStream(HEAD);
        await caller.sendEvents(Buffer.from(`id: ${req.id}\n\n`), new AbortController().signal);
        caller.endStream();
        throw new Error("a fault of the code");
    });
    socket.write(createMessage("1"));
    await eventuallyIs(t, () => failures.length, 1);
    socket.write(createMessage("2"));
    await eventuallyIs(t, () => failures.length, 2);
    await eventuallyIs(t, () => state.text.match(/\r\n0\r\n/g)?.length, 2);
    t.is(state.end, "");
});

/** Serves with the request's id once it is told to. */
const serveLater = () => {
    const waiting: (() => void)[] = [];
    const serve = async (req: RelayRequest, caller: CallerExchange): Promise<void> => {
        await new Promise<void>(resolve => waiting.push(resolve));
        await caller.sendResponse(HEAD, Buffer.from(`whole ${req.id}`));
    };
    return { waiting, serve };
};

// Guards against requests that were passed on and got the 400, 431 or 408 of later bytes on their connection.
for (
    const [name, bytes] of [
        ["no request", "no request\r\n\r\n"],
        ["a request with too large headers", `GET / HTTP/1.1\r\nLong: ${"x".repeat(70_000)}\r\n\r\n`],
        ["a request with an invalid body", "POST / HTTP/1.1\r\nid: b\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"],
    ] as const
) {
    test(`a request gets its own response though ${name} follows on its connection`, async t => {
        const { waiting, serve } = serveLater();
        const { socket, state } = await connectTo(t, serve);
        socket.write(createMessage("a"));
        await eventuallyIs(t, () => waiting.length, 1);
        socket.write(bytes);
        await sleep(LATE_WRITE_MS);
        waiting[0]?.();
        await eventuallyIs(t, () => state.end, "closed");
        t.regex(state.text, /^HTTP\/1\.1 200 [^]*Connection: close[^]*whole a$/);
    });
}

test("a request gets its own response though the headers of the next one on its connection take too long", async t => {
    const { waiting, serve } = serveLater();
    const { socket, state } = await connectTo(t, serve, {
        ...SMALL_BOUNDS,
        maxBodyBytes: 30_000,
        headerTimeoutMs: 200,
    });
    socket.write(createMessage("a"));
    await eventuallyIs(t, () => waiting.length, 1);
    socket.write("GET / HTTP/1.1\r\n");
    // The checks for slow heads are a second apart.
    await sleep(2_300);
    waiting[0]?.();
    await eventuallyIs(t, () => state.end, "closed");
    t.regex(state.text, /^HTTP\/1\.1 200 [^]*whole a$/);
});

test("a stream that has begun is completed though no request follows on its connection, which is closed then", async t => {
    let finish: () => void = () => undefined;
    const { socket, state } = await connectTo(t, async (_req, caller) => {
        caller.startStream(HEAD);
        await caller.sendEvents(Buffer.from("id: 1\n\n"), new AbortController().signal);
        await new Promise<void>(resolve => finish = resolve);
        caller.endStream();
    });
    socket.write(createMessage("a"));
    await eventuallyIs(t, () => state.text.includes("id: 1"), true);
    socket.write("no request\r\n\r\n");
    await sleep(LATE_WRITE_MS);
    finish();
    await eventuallyIs(t, () => state.end, "closed");
    t.regex(state.text, /^HTTP\/1\.1 200 [^]*id: 1[^]*\r\n0\r\n\r\n$/);
});

test("bytes that are no request are answered where no request is open", async t => {
    const { socket, state } = await connectTo(t, () => Promise.resolve());
    socket.write("no request\r\n\r\n");
    await eventuallyIs(t, () => state.end, "closed");
    const content = "Content-Type: application/json\r\nContent-Length: 22\r\n";
    t.is(state.text, `HTTP/1.1 400 Bad Request\r\n${content}Connection: close\r\n\r\n{"error":"badRequest"}`);
});

// Guards against sound targets that count as unreachable since a caller's path can't be sent to any.
test("a path that cannot be sent on is refused", async t => {
    let served = 0;
    const { socket, state } = await connectTo(t, () => {
        served += 1;
        return Promise.resolve();
    });
    socket.write(createMessage("a").replace("/x", "/x\ty"));
    await eventuallyIs(t, () => state.end, "closed");
    t.regex(state.text, /^HTTP\/1\.1 400 [^]*badRequest/);
    t.is(served, 0);
});

// Guards against requests that arrive during a pause of the process and whose connections are closed by timers after it.
test.serial("a request that arrives in a pause of the process is served though the time for its headers is over", async t => {
    const answer = (req: RelayRequest, caller: CallerExchange): Promise<void> =>
        caller.sendResponse(HEAD, Buffer.from(`whole ${req.id}`));
    const { socket, state } = await connectTo(t, answer, {
        ...SMALL_BOUNDS,
        maxBodyBytes: 30_000,
        headerTimeoutMs: 200,
    });
    await sleep(LATE_WRITE_MS);
    socket.write(createMessage("a"));
    pauseProcess(1_300);
    await eventuallyIs(t, () => state.text.endsWith("whole a") || state.end, true);
    t.regex(state.text, /^HTTP\/1\.1 200 /);
});

test.serial("a request that arrives in a pause of the process is served though its connection was idle for too long", async t => {
    const answer = (req: RelayRequest, caller: CallerExchange): Promise<void> =>
        caller.sendResponse(HEAD, Buffer.from(`whole ${req.id}`));
    const { socket, state } = await connectTo(t, answer, { ...SMALL_BOUNDS, maxBodyBytes: 30_000, idleTimeoutMs: 500 });
    socket.write(createMessage("a"));
    await eventuallyIs(t, () => state.text.endsWith("whole a"), true);
    await sleep(LATE_WRITE_MS);
    socket.write(createMessage("b"));
    pauseProcess(2_000);
    await eventuallyIs(t, () => state.text.endsWith("whole b") || state.end, true);
});

test("a connection that is idle for too long is closed", async t => {
    const { socket, state } = await connectTo(
        t,
        (_req, caller) => caller.sendResponse(HEAD, Buffer.from("whole")),
        { ...SMALL_BOUNDS, maxBodyBytes: 30_000, idleTimeoutMs: 100 },
    );
    socket.write(createMessage("a"));
    await eventuallyIs(t, () => state.text.endsWith("whole"), true);
    await eventuallyIs(t, () => state.end, "closed");
});

test("a connection that brings no whole headers is answered with a time-out", async t => {
    const { socket, state } = await connectTo(t, () => Promise.resolve(), { ...SMALL_BOUNDS, headerTimeoutMs: 200 });
    socket.write("GET / HTTP/1.1\r\n");
    await eventuallyIs(t, () => state.end, "closed");
    t.regex(state.text, /^HTTP\/1\.1 408 Request Timeout\r\nConnection: close\r\n\r\n$/);
});

/** Connections that the port of the test below accepts, and requests that are sent to it one after the other. */
const MAX_CONNECTIONS = 16;
const REQUESTS = 40;

// Guards against callers that get no answer from an instance that serves as many connections as it can.
test("requests on more connections than are served are refused as not run", async t => {
    const served: string[] = [];
    let finish = (): void => undefined;
    const finished = new Promise<void>(resolve => finish = resolve);
    const port = new HttpCallerPort({
        host: HOST,
        port: 0,
        protocol: new PlainCallerProtocol(),
        getBounds: () => undefined,
        limits: getCallerLimits({ maxConnections: MAX_CONNECTIONS }, 0),
        serve: async ({ id }, caller) => {
            served.push(id);
            await finished;
            await caller.sendResponse({ status: 200, headers: [], isFramed: true }, Buffer.from(id));
        },
    });
    await port.start();
    t.teardown(() => port.close(0));
    const seen = Array.from({ length: REQUESTS }, () => ({ text: "", isClosed: false }));
    for (const [at, state] of seen.entries()) {
        const socket = send(port.listenPort, `r${at}`, false);
        t.teardown(() => socket.destroy());
        socket.on("data", chunk => state.text += chunk.toString("latin1")).on("end", () => socket.end())
            .on("close", () => state.isClosed = true);
        await eventuallyIs(t, () => served.includes(`r${at}`) || state.isClosed, true);
    }
    const refused = seen.filter(({ isClosed }) => isClosed);
    t.true(refused.length > 0);
    refused.forEach(({ text }) => t.regex(text, /^HTTP\/1\.1 503 .*\r\nConnection: close\r\n/s));
    finish();
    await eventuallyIs(t, () => seen.every(({ text }) => text.startsWith("HTTP/1.1 ")), true);
    t.is(seen.filter(({ text }) => text.startsWith("HTTP/1.1 200")).length, served.length);
});
