import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import {
    createRawRequest,
    openCaller,
    type RawAnswer,
    readUntilEnd,
    startRelayPath,
    waitForClose,
} from "../fixtures/relay-path.js";
import { writeEndlessly } from "../fixtures/write-endlessly.js";

const HEAD = "HTTP/1.1 200 OK\r\nid: request-1\r\n";
const EVENT = `id: 1\ndata: ${"x".repeat(10_000)}\n\n`;
const STREAM_EVENTS = 1_500;

test("a caller that does not read does not keep the connection of an aborted stream open", async t => {
    const events = Array.from({ length: STREAM_EVENTS }, (_, i) => EVENT.replace("1", String(i))).join("");
    const path = await startRelayPath(
        [socket => socket.end(`${HEAD}content-length: ${events.length + 9}\r\n\r\n${events}id: 9999`)],
        { kind: "streaming", timeoutMs: 500 },
    );
    t.teardown(() => path.close());
    const caller = await openCaller(path.callerPort, createRawRequest());
    caller.pause();
    await sleep(1_800);
    const { text } = await readUntilEnd(caller.resume());
    t.true(text.length < events.length);
});

test("a target's stream is read no faster than its caller reads", async t => {
    let getWritten = (): number => 0;
    const respond: RawAnswer = socket => {
        getWritten = writeEndlessly(socket, `${HEAD}\r\n`, `data: ${"x".repeat(1_000)}\n\n`);
    };
    const path = await startRelayPath([respond], { kind: "streaming", timeoutMs: 4_000 });
    t.teardown(() => path.close());
    const caller = await openCaller(path.callerPort, createRawRequest());
    caller.pause();
    await sleep(1_000);
    const stalledAtBytes = getWritten();
    await sleep(1_000);
    t.is(getWritten(), stalledAtBytes);
    caller.on("error", () => undefined).resume();
    await sleep(300);
    t.true(getWritten() > stalledAtBytes);
    await waitForClose(path.sockets[0]);
});

test("a stream whose caller stops reading ends at its route's timeout", async t => {
    const path = await startRelayPath(
        [socket => writeEndlessly(socket, `${HEAD}\r\n`, `data: ${"x".repeat(1_000)}\n\n`)],
        { kind: "streaming", timeoutMs: 700 },
    );
    t.teardown(() => path.close());
    const caller = await openCaller(path.callerPort, createRawRequest());
    caller.pause();
    while (path.sockets.length === 0) {
        await sleep(10);
    }
    await waitForClose(path.sockets[0]);
    while (path.log.lines.length === 0) {
        await sleep(10);
    }
    t.like(path.log.lines.at(-1), { event: "request ended", result: "broken" });
    t.true(Number(path.log.lines.at(-1)?.["ms"]) < 1_500);
    caller.destroy();
});
