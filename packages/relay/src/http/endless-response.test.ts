import test from "ava";
import type { Socket } from "node:net";
import { requestOnce, startRelayPath } from "../fixtures/relay-path.js";
import { writeEndlessly } from "../fixtures/write-endlessly.js";

const HEAD = "HTTP/1.1 200 OK\r\nid: request-1\r\n";
const NOT_RUN = "HTTP/1.1 503 Full\r\nid: request-1\r\nnot-run: 1\r\n";

/** Time limit of the routes, which no request of these tests may reach, in milliseconds. */
const TIMEOUT_MS = 20_000;

/** Bytes that the buffers of both ends of a loopback connection can hold, in addition to what was read. */
const SOCKET_BUFFER_BYTES = 12_000_000;

const closed = (socket: Socket): Promise<void> =>
    new Promise(resolve => {
        if (socket.destroyed) {
            resolve();
        }
        else {
            socket.once("close", () => resolve());
        }
    });

const KIB = 1_024;
const MIB = 1_024 * KIB;

test.serial("the body of a report that the request did not run is not read without end", async t => {
    const path = await startRelayPath([
        socket => writeEndlessly(socket, `${NOT_RUN}\r\n`, "x"),
        socket => socket.write(`${HEAD}content-length: 5\r\n\r\nwhole`),
    ], { timeoutMs: TIMEOUT_MS });
    t.teardown(() => path.close());
    t.true((await requestOnce(path.callerPort)).text.endsWith("whole"));
    const [first] = path.sockets;
    await closed(first ?? t.fail());
    t.true((first?.bytesWritten ?? 0) < 64 * KIB + SOCKET_BUFFER_BYTES);
});

test.serial("the body of a report that the request did not run is not waited for without end", async t => {
    const path = await startRelayPath([
        socket => socket.write(`${NOT_RUN}content-length: 10\r\n\r\nx`),
        socket => socket.write(`${HEAD}content-length: 5\r\n\r\nwhole`),
    ], { timeoutMs: TIMEOUT_MS });
    t.teardown(() => path.close());
    t.true((await requestOnce(path.callerPort)).text.endsWith("whole"));
    await closed(path.sockets[0] ?? t.fail());
});

test.serial("a stream whose events are out of order is not read further", async t => {
    const path = await startRelayPath(
        [socket => writeEndlessly(socket, `${HEAD}\r\n`, "id: 5\n\n")],
        { kind: "streaming", timeoutMs: TIMEOUT_MS },
    );
    t.teardown(() => path.close());
    await requestOnce(path.callerPort);
    await closed(path.sockets[0] ?? t.fail());
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
    await closed(path.sockets[0] ?? t.fail());
});
