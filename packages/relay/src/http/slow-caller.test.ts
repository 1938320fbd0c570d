import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { createRawRequest, openCaller, readUntilEnd, startRelayPath } from "../fixtures/relay-path.js";

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
