import test, { type ExecutionContext } from "ava";
import type { RelayRoute } from "../document/relay-document.js";
import { type RawAnswer, requestOnce, startRelayPath, waitForClose } from "../fixtures/relay-path.js";
import { writeEndlessly } from "../fixtures/write-endlessly.js";

const HEAD = "HTTP/1.1 200 OK\r\nid: request-1\r\n";
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const NOT_RUN = "HTTP/1.1 503 Full\r\nid: request-1\r\nnot-run: 1\r\n";

/** Time limit of the routes, which no request of these tests may reach, in milliseconds. */
const TIMEOUT_MS = 20_000;

/** Bytes that the buffers of both ends of a loopback connection can hold, in addition to what was read. */
const SOCKET_BUFFER_BYTES = 12_000_000;

interface EndlessCase {
    readonly name: string;
    readonly head: string;
    readonly repeated: string;
    /** Bytes of the response after which its connection is closed at the latest. */
    readonly maxBytes: number;
    readonly route?: Partial<RelayRoute>;
}

/** Sends one request that is answered without end; returns the response and checks that the connection was closed. */
const requestEndless = async (t: ExecutionContext, { head, repeated, maxBytes, route }: EndlessCase) => {
    let getWritten = (): number => 0;
    const respond: RawAnswer = socket => {
        getWritten = writeEndlessly(socket, head, repeated);
    };
    const path = await startRelayPath([respond], { timeoutMs: TIMEOUT_MS, kind: "non_idempotent", ...route });
    t.teardown(() => path.close());
    const startedAtMs = performance.now();
    const response = await requestOnce(path.callerPort);
    await Promise.all(path.sockets.map(waitForClose));
    t.true(performance.now() - startedAtMs < TIMEOUT_MS / 2);
    t.true(getWritten() < maxBytes + SOCKET_BUFFER_BYTES, String(getWritten()));
    t.is(path.directory.list().filter(state => state.health.errorShare > 0).length, 1);
    return response;
};

const KIB = 1_024;
const MIB = 1_024 * KIB;

const ENDLESS: readonly EndlessCase[] = [
    { name: "head of many lines", head: HEAD, repeated: "x: 1\r\n", maxBytes: 64 * KIB },
    { name: "head line", head: `${HEAD}x: `, repeated: "x", maxBytes: 64 * KIB },
    { name: "row of bytes that are not HTTP", head: "", repeated: "\x00garbage", maxBytes: 64 * KIB },
    { name: "head line of blanks", head: `${HEAD}x:`, repeated: " ", maxBytes: 128 * KIB },
    { name: "status line", head: "HTTP/1.1 200 ", repeated: "x", maxBytes: 128 * KIB },
    { name: "row of empty lines", head: "", repeated: "\r\n", maxBytes: 128 * KIB },
    { name: "row of interim responses", head: "", repeated: "HTTP/1.1 103 Hints\r\n\r\n", maxBytes: 128 * KIB },
    { name: "row of headers after blanks", head: HEAD, repeated: `x:${" ".repeat(999)}1\r\n`, maxBytes: 128 * KIB },
    { name: "chunk extension", head: `${CHUNKED}1;x=`, repeated: "x", maxBytes: 128 * KIB },
    { name: "chunk size", head: CHUNKED, repeated: "0", maxBytes: 128 * KIB },
    { name: "trailer", head: `${CHUNKED}1\r\nx\r\n0\r\nx: `, repeated: "x", maxBytes: 128 * KIB },
    { name: "row of trailers", head: `${CHUNKED}1\r\nx\r\n0\r\n`, repeated: "x: 1\r\n", maxBytes: 128 * KIB },
    { name: "chunked body", head: CHUNKED, repeated: "4\r\nbody\r\n", maxBytes: 64 * MIB },
    { name: "body of one chunk", head: `${CHUNKED}fffffffff\r\n`, repeated: "x", maxBytes: 17 * MIB },
    { name: "unframed body", head: `${HEAD}\r\n`, repeated: "x", maxBytes: 17 * MIB },
    {
        name: "body with a length",
        head: `${HEAD}content-length: 99999999999\r\n\r\n`,
        repeated: "x",
        maxBytes: 17 * MIB,
    },
    { name: "error response", head: "HTTP/1.1 500 No\r\nid: request-1\r\n\r\n", repeated: "x", maxBytes: 17 * MIB },
];

for (const endless of ENDLESS) {
    test.serial(`an endless ${endless.name} ends the request as one that may have run, and its connection`, async t => {
        const { text } = await requestEndless(t, endless);
        t.true(text.startsWith("HTTP/1.1 502"), text.slice(0, 80));
    });
}

for (const head of [CHUNKED + "fffffffff\r\n", `${HEAD}\r\n`, `${HEAD}content-length: 99999999999\r\n\r\n`]) {
    test.serial(`an event without end is not buffered beyond its limit: ${JSON.stringify(head)}`, async t => {
        const route = { kind: "streaming" } as const;
        const { text } = await requestEndless(t, { name: "", head, repeated: "x", maxBytes: 2 * MIB, route });
        t.true(text.startsWith("HTTP/1.1 502"), text.slice(0, 80));
    });
}

test.serial("an endless response to an idempotent request is abandoned, and the request sent to another target", async t => {
    const path = await startRelayPath([
        socket => writeEndlessly(socket, `${CHUNKED}1;x=`, "x"),
        socket => socket.write(`${HEAD}content-length: 5\r\n\r\nwhole`),
    ], { timeoutMs: TIMEOUT_MS });
    t.teardown(() => path.close());
    t.true((await requestOnce(path.callerPort)).text.endsWith("whole"));
});

test.serial("the body of a report that the request did not run is not read without end", async t => {
    const path = await startRelayPath([
        socket => writeEndlessly(socket, `${NOT_RUN}\r\n`, "x"),
        socket => socket.write(`${HEAD}content-length: 5\r\n\r\nwhole`),
    ], { timeoutMs: TIMEOUT_MS });
    t.teardown(() => path.close());
    t.true((await requestOnce(path.callerPort)).text.endsWith("whole"));
    const [first] = path.sockets;
    await waitForClose(first);
    t.true((first?.bytesWritten ?? 0) < 64 * KIB + SOCKET_BUFFER_BYTES);
});

test.serial("the body of a report that the request did not run is not waited for without end", async t => {
    const path = await startRelayPath([
        socket => socket.write(`${NOT_RUN}content-length: 10\r\n\r\nx`),
        socket => socket.write(`${HEAD}content-length: 5\r\n\r\nwhole`),
    ], { timeoutMs: TIMEOUT_MS });
    t.teardown(() => path.close());
    t.true((await requestOnce(path.callerPort)).text.endsWith("whole"));
    await waitForClose(path.sockets[0]);
});

test.serial("a stream whose events are out of order is not read further", async t => {
    const path = await startRelayPath(
        [socket => writeEndlessly(socket, `${HEAD}\r\n`, "id: 5\n\n")],
        { kind: "streaming", timeoutMs: TIMEOUT_MS },
    );
    t.teardown(() => path.close());
    await requestOnce(path.callerPort);
    await waitForClose(path.sockets[0]);
    t.true((path.sockets[0]?.bytesWritten ?? 0) < MIB + SOCKET_BUFFER_BYTES);
});

test.serial("bytes without end after a complete response do not reach another request", async t => {
    const path = await startRelayPath([
        socket =>
            writeEndlessly(socket, `${HEAD}content-length: 3\r\n\r\none`, "HTTP/1.1 200 OK\r\nid: request-1\r\n\r\n"),
        socket => socket.write(`${HEAD}content-length: 3\r\n\r\ntwo`),
    ], { timeoutMs: TIMEOUT_MS });
    t.teardown(() => path.close());
    t.true((await requestOnce(path.callerPort)).text.endsWith("one"));
    t.true((await requestOnce(path.callerPort)).text.endsWith("two"));
    await waitForClose(path.sockets[0]);
});
