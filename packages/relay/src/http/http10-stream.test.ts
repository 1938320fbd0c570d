import test from "ava";
import { createRawRequest, openCaller, type RawAnswer, readUntilEnd, startRelayPath } from "../fixtures/relay-path.js";

const HEAD = "HTTP/1.1 200 OK\r\nid: request-1\r\n";
const EVENTS = "id: 1\n\nid: 2\n\n";
const REQUEST = createRawRequest().replace("HTTP/1.1", "HTTP/1.0");

const getBody = (text: string): string => text.slice(text.indexOf("\r\n\r\n") + 4);

const toChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

const FRAMED: readonly (readonly [string, RawAnswer])[] = [
    [
        "in chunks",
        socket => socket.write(`${HEAD}transfer-encoding: chunked\r\n\r\n${toChunk(EVENTS)}0\r\n\r\n`),
    ],
    ["with a length", socket => socket.write(`${HEAD}content-length: ${EVENTS.length}\r\n\r\n${EVENTS}`)],
];

for (const [framing, answer] of FRAMED) {
    // Guards against streams in chunks, which callers of HTTP/1.0 do not read.
    test(`a stream ${framing} is relayed to a caller of HTTP/1.0 up to the end of its connection`, async t => {
        const path = await startRelayPath([answer], { kind: "streaming" });
        t.teardown(() => path.close());
        const { text, end } = await readUntilEnd(await openCaller(path.callerPort, REQUEST));
        t.deepEqual([getBody(text), end], [EVENTS, "closed"]);
        t.regex(text, /^connection: close\r$/im);
        t.notRegex(text, /content-length|transfer-encoding/i);
    });
}

test("a stream in chunks that breaks off is reset to a caller of HTTP/1.0, so that it does not look complete", async t => {
    const path = await startRelayPath([
        socket => socket.end(`${HEAD}transfer-encoding: chunked\r\n\r\n${toChunk("id: 1\n\n")}`),
    ], { kind: "streaming" });
    t.teardown(() => path.close());
    const { text, end } = await readUntilEnd(await openCaller(path.callerPort, REQUEST));
    t.deepEqual([getBody(text), end], ["id: 1\n\n", "reset"]);
});
