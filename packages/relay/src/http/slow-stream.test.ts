import test from "ava";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { RelayRoute } from "../document/relay-document.js";
import {
    createRawRequest,
    openCaller,
    type RawAnswer,
    readUntilEnd,
    requestOnce,
    startRelayPath,
    waitForClose,
} from "../fixtures/relay-path.js";

const HEAD = "HTTP/1.1 200 OK\r\nid: request-1\r\n";
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const LONG = `${HEAD}content-length: 1000\r\n\r\n`;

/** Callers leave after a gap of two seconds. */
const PAUSE_MS = 1_900;

const TRICKLE_INTERVAL_MS = 100;

const TIMEOUT_MS = 1_500;

/** Time in which a response that was given up has ended on a busy machine too, in milliseconds. */
const END_MARGIN_MS = 2_500;

const toChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Writes the parts with a pause before each. */
const writeSlowly = (...parts: readonly string[]): RawAnswer => socket => {
    void (async () => {
        for (const part of parts) {
            await sleep(PAUSE_MS);
            socket.write(part);
        }
    })();
};

/** Writes a beginning, and then the same few bytes at intervals until the connection is closed. */
const trickle = (beginning: string, repeated: string): RawAnswer => socket => {
    socket.write(beginning);
    const timer = setInterval(() => socket.write(repeated), TRICKLE_INTERVAL_MS);
    socket.once("close", () => clearInterval(timer));
};

interface ResponseCase {
    readonly name: string;
    readonly answer: RawAnswer;
    readonly route: Partial<RelayRoute>;
}

const STREAM: Partial<RelayRoute> = { kind: "streaming" };
const RESUMABLE: Partial<RelayRoute> = { kind: "streaming", isResumable: true };
const ONCE: Partial<RelayRoute> = { kind: "non_idempotent" };
const REPEATABLE: Partial<RelayRoute> = { kind: "idempotent" };

const SOUND: readonly (ResponseCase & { readonly body: string; })[] = [
    {
        name: "resumable stream with pauses before its first event, between events and in one",
        answer: writeSlowly(
            `${CHUNKED}${toChunk("id: 1\n\n")}`,
            toChunk("id: 2\nda"),
            `${toChunk("ta: x\n\n")}0\r\n\r\n`,
        ),
        route: RESUMABLE,
        body: `${toChunk("id: 1\n\n")}${toChunk("id: 2\ndata: x\n\n")}0\r\n\r\n`,
    },
    {
        name: "stream that may run once with pauses between comments and events",
        answer: writeSlowly(
            `${CHUNKED}${toChunk(": a\n\n")}`,
            toChunk("id: 1\n\n"),
            `${toChunk("id: 2\n\n")}0\r\n\r\n`,
        ),
        route: STREAM,
        body: `${toChunk(": a\n\n")}${toChunk("id: 1\n\n")}${toChunk("id: 2\n\n")}0\r\n\r\n`,
    },
    {
        name: "response to an idempotent request with pauses in its head, before its body and in it",
        answer: writeSlowly("HTTP/1.1 200 OK\r\nid:", " request-1\r\ncontent-length: 5\r\n\r\n", "who", "le"),
        route: REPEATABLE,
        body: "whole",
    },
    {
        name: "response without a length with pauses in its body",
        answer: socket => {
            writeSlowly(`${HEAD}\r\n`, "who", "le")(socket, "");
            setTimeout(() => socket.end(), 4 * PAUSE_MS);
        },
        route: ONCE,
        body: "whole",
    },
];

for (const { name, answer, route, body } of SOUND) {
    // Operators of similar systems saw slow but sound streams cut.
    test(`a slow response is relayed whole: ${name}`, async t => {
        const path = await startRelayPath([answer], route);
        t.teardown(() => path.close());
        const { text } = await requestOnce(path.callerPort);
        t.true(text.startsWith("HTTP/1.1 200"), text);
        t.is(text.slice(text.indexOf("\r\n\r\n") + 4), body);
        t.is(path.seen.length, 1);
    });
}

/** Responses of which something arrives all the time, before the caller got a part of them. */
const STALLED: readonly ResponseCase[] = [
    { name: "bytes of the first event", answer: trickle(CHUNKED, toChunk("x")), route: STREAM },
    { name: "lines of the first event", answer: trickle(CHUNKED, toChunk("data: x\n")), route: RESUMABLE },
    { name: "comment lines before the first event", answer: trickle(CHUNKED, toChunk(": x\n")), route: RESUMABLE },
    { name: "bytes of a stream without a length", answer: trickle(`${HEAD}\r\n`, "x"), route: STREAM },
    { name: "bytes of a head", answer: trickle(`${HEAD}x: `, "x"), route: STREAM },
    { name: "interim responses", answer: trickle("", "HTTP/1.1 103 Hints\r\n\r\n"), route: REPEATABLE },
    { name: "bytes of a body with a length", answer: trickle(LONG, "x"), route: REPEATABLE },
    { name: "bytes of a body that may run once", answer: trickle(LONG, "x"), route: ONCE },
    { name: "chunks of a body", answer: trickle(CHUNKED, toChunk("x")), route: REPEATABLE },
    { name: "bytes of a body without a length", answer: trickle(`${HEAD}\r\n`, "x"), route: ONCE },
    { name: "bytes of a chunk extension", answer: trickle(`${CHUNKED}1;x=`, "x"), route: REPEATABLE },
    { name: "bytes of a trailer", answer: trickle(`${CHUNKED}${toChunk("x")}0\r\nx: `, "x"), route: ONCE },
];

/** Responses of streams that go on as comments or as an event without an end. */
const STALLED_LATER: readonly ResponseCase[] = [
    { name: "bytes of an event", answer: trickle(CHUNKED + toChunk("id: 1\n\n"), toChunk("x")), route: STREAM },
    {
        name: "lines of an event",
        answer: trickle(CHUNKED + toChunk("id: 1\n\n"), toChunk("data: x\n")),
        route: RESUMABLE,
    },
    { name: "comment lines", answer: trickle(CHUNKED + toChunk("id: 1\n\n"), toChunk(": x\n")), route: RESUMABLE },
    { name: "comments", answer: trickle(CHUNKED + toChunk("id: 1\n\n"), toChunk(": x\n\n")), route: STREAM },
    { name: "comments before the first event", answer: trickle(CHUNKED, toChunk(": x\n\n")), route: RESUMABLE },
    { name: "blank lines", answer: trickle(CHUNKED + toChunk("id: 1\n\n"), toChunk("\n")), route: STREAM },
    { name: "bytes without a length", answer: trickle(`${HEAD}\r\nid: 1\n\n`, "x"), route: STREAM },
];

const waitForEnd = async (socket: Socket): Promise<number> => {
    const startedAtMs = performance.now();
    await waitForClose(socket);
    return performance.now() - startedAtMs;
};

for (const { name, answer, route } of STALLED) {
    // Operators of similar systems saw stalled streams that sent a byte now and then never end.
    test(`a stalled response is given up at its route's timeout: ${name}`, async t => {
        const path = await startRelayPath([answer], { ...route, timeoutMs: TIMEOUT_MS });
        t.teardown(() => path.close());
        const startedAtMs = performance.now();
        const { text } = await requestOnce(path.callerPort);
        await Promise.all(path.sockets.map(waitForClose));
        const ms = performance.now() - startedAtMs;
        t.true(ms > TIMEOUT_MS - TRICKLE_INTERVAL_MS && ms < TIMEOUT_MS + END_MARGIN_MS, `${Math.round(ms)} ms`);
        t.true(text.startsWith("HTTP/1.1 504"), text);
        t.is(path.seen.length, 1);
        t.is(path.relay.heldResponseBytes, 0);
    });
}

for (const { name, answer, route } of STALLED_LATER) {
    // Operators of similar systems saw stalled streams that sent a byte now and then never end.
    test(`a stalled stream is broken off at its route's timeout: ${name}`, async t => {
        const path = await startRelayPath([answer], { ...route, timeoutMs: TIMEOUT_MS });
        t.teardown(() => path.close());
        const startedAtMs = performance.now();
        const { text, end } = await readUntilEnd(await openCaller(path.callerPort, createRawRequest()));
        await Promise.all(path.sockets.map(waitForClose));
        const ms = performance.now() - startedAtMs;
        t.true(ms > TIMEOUT_MS - TRICKLE_INTERVAL_MS && ms < TIMEOUT_MS + END_MARGIN_MS, `${Math.round(ms)} ms`);
        t.true(text.startsWith("HTTP/1.1 200"), text);
        t.true(end === "reset" || /^transfer-encoding: chunked\r$/im.test(text), text);
        t.false(text.endsWith("0\r\n\r\n"));
        t.is(path.seen.length, 1);
        t.is(path.relay.heldResponseBytes, 0);
    });
}

test("a stalled stream ends when its caller leaves", async t => {
    const path = await startRelayPath([trickle(CHUNKED + toChunk("id: 1\n\n"), toChunk("x"))], RESUMABLE);
    t.teardown(() => path.close());
    const caller = await openCaller(path.callerPort, createRawRequest());
    await new Promise(resolve => caller.once("data", resolve));
    caller.destroy();
    const [socket] = path.sockets;
    t.true(socket !== undefined && await waitForEnd(socket) < END_MARGIN_MS);
});

test("a stalled response ends at its caller's deadline", async t => {
    const path = await startRelayPath([trickle(LONG, "x")], REPEATABLE);
    t.teardown(() => path.close());
    const startedAtMs = performance.now();
    const headers = `waits-ms: ${TIMEOUT_MS}\r\nConnection: close\r\n`;
    const { text } = await readUntilEnd(await openCaller(path.callerPort, createRawRequest("request-1", headers)));
    const ms = performance.now() - startedAtMs;
    t.true(text.startsWith("HTTP/1.1 504"), text);
    t.true(ms > TIMEOUT_MS - TRICKLE_INTERVAL_MS && ms < TIMEOUT_MS + END_MARGIN_MS, `${Math.round(ms)} ms`);
});

test("the body of a report that the request did not run is not waited for while bytes of it arrive", async t => {
    const path = await startRelayPath([
        trickle("HTTP/1.1 503 Full\r\nid: request-1\r\nnot-run: 1\r\ncontent-length: 1000\r\n\r\n", "x"),
        socket => socket.write(`${HEAD}content-length: 5\r\n\r\nwhole`),
    ], REPEATABLE);
    t.teardown(() => path.close());
    t.true((await requestOnce(path.callerPort)).text.endsWith("whole"));
    const [socket] = path.sockets;
    t.true(socket !== undefined && await waitForEnd(socket) < END_MARGIN_MS);
});
