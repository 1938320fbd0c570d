import test, { type ExecutionContext } from "ava";
import type { Socket } from "node:net";
import type { RelayRoute } from "../document/relay-document.js";
import { KnownEnds } from "../fixtures/known-ends.js";
import { PathFleet, TARGET } from "../fixtures/path-fleet.js";
import { createCall, PlainTargetProtocol } from "../fixtures/plain-protocol.js";
import { createRawTarget } from "../fixtures/raw-target.js";
import { openCaller, type RawAnswer, readUntilEnd, startRelayPath } from "../fixtures/relay-path.js";
import { HttpTargetPort } from "./http-target-port.js";

/** More than the buffers of a connection hold, so that the upload is still being written when the response comes. */
const UPLOAD_BYTES = 3_000_000;

const RESET_DELAY_MS = 40;

const READ_INTERVAL_MS = 5;

const HEAD = "HTTP/1.1 200 OK\r\nid: request-1\r\n\r\n";

const frameByLength = (body: string): string => `Content-Length: ${body.length}\r\n\r\n${body}`;

const frameInChunks = (body: string): string =>
    `Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;

const FRAMINGS = [["with a length", frameByLength], ["in chunks", frameInChunks]] as const;

/** Reads a part of the upload every few milliseconds, or nothing more of it. */
const readSlowly = (socket: Socket, isReading: boolean): void => {
    socket.pause();
    if (isReading && !socket.destroyed) {
        setTimeout(() => {
            socket.resume();
            setImmediate(() => readSlowly(socket, isReading));
        }, READ_INTERVAL_MS);
    }
};

/** Responds to the first bytes of a request without a length, and resets the connection while the upload is being written. */
const respondEarly = (part: string, isReading: boolean): RawAnswer => {
    const begun = new WeakSet<Socket>();
    return socket => {
        if (!begun.has(socket)) {
            begun.add(socket);
            readSlowly(socket, isReading);
            socket.write(`${HEAD}${part}`, () => setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS));
        }
    };
};

const upload = async (t: ExecutionContext, answer: RawAnswer, framed: string, route: Partial<RelayRoute>) => {
    const bounds = { maxBodyBytes: 2 * UPLOAD_BYTES };
    const path = await startRelayPath([answer], { kind: "non_idempotent", ...route }, bounds);
    t.teardown(() => path.close());
    const head = "POST /a/b HTTP/1.1\r\nHost: host-1\r\nid: request-1\r\nConnection: close\r\n";
    return await readUntilEnd(await openCaller(path.callerPort, `${head}${framed}`));
};

// Guards against a part of a response that a caller takes for the whole, since its end looks like that of a response without a length.
for (const [framing, frame] of FRAMINGS) {
    for (const isReading of [false, true]) {
        const target = isReading ? "reads slowly" : "reads nothing";
        const body = frame("x".repeat(UPLOAD_BYTES));

        test(`a response to an upload ${framing} that is reset early is not relayed as complete (target ${target})`, async t => {
            const { text } = await upload(t, respondEarly("part", isReading), body, {});
            t.true(text.startsWith("HTTP/1.1 502"), text.slice(0, 200));
            t.false(text.includes("part"));
        });

        test(`a stream in response to an upload ${framing} that is reset early does not end in order (target ${target})`, async t => {
            const answer = respondEarly("id: 1\n\n", isReading);
            const { text, end } = await upload(t, answer, body, { kind: "streaming" });
            t.true(end === "reset" || text.startsWith("HTTP/1.1 502"), text.slice(0, 200));
        });
    }
}

// Guards against the same where another instance makes the send.
test("a response through a peer that is reset early is not complete", async t => {
    const fleet = new PathFleet(2);
    const [own, peer] = fleet.members;
    if (own === undefined || peer === undefined) {
        return t.fail();
    }
    const raw = await createRawTarget(respondEarly("part", false));
    const { host, port } = raw.target;
    const http = new HttpTargetPort(new PlainTargetProtocol(), new KnownEnds());
    t.teardown(async () => {
        await http.close();
        raw.server.close();
    });
    fleet.members.forEach(({ directory, direct }) => {
        directory.put({ ...TARGET, host, port });
        direct.answer = call => http.send(call);
    });
    own.direct.isCut = true;
    const { req } = createCall(TARGET);
    const uploading = { ...req, id: "request-1", method: "POST", body: Buffer.alloc(UPLOAD_BYTES, "x") };
    const { outcome, cause } = await fleet.send(own, { req: uploading });
    t.true(outcome.kind === "failed" || cause !== "", outcome.kind);
    t.is(peer.direct.calls.length, 1);
});
