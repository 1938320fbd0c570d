import test from "ava";
import fc from "fast-check";
import { MessageReader, type MessageReaderOptions } from "./message-reader.js";

/** Reads messages from chunks; returns the bytes of each. */
const split = (opts: MessageReaderOptions, chunks: readonly Buffer[]): readonly string[] => {
    const messages: string[] = [];
    let reader = new MessageReader(opts);
    let current = "";
    for (const chunk of chunks) {
        let rest = chunk;
        while (rest.length > 0) {
            const read = reader.read(rest);
            current += rest.toString("latin1", 0, read);
            rest = rest.subarray(read);
            if (reader.isComplete) {
                messages.push(current);
                current = "";
                reader = new MessageReader(opts);
            }
        }
    }
    return messages;
};

const REQUESTS = [
    "GET /a HTTP/1.1\r\nHost: a\r\n\r\n",
    "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nGET /",
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n0\r\n\r\n0\r\nname: value\r\n\r\n",
];

const RESPONSES = [
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 3\r\n\r\n\r\n\r",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nid: 1\n\n\r\n\r\r\n0\r\n\r\n",
];

for (const [kind, messages] of [["request", REQUESTS], ["response", RESPONSES]] as const) {
    test(`the end of each ${kind} is found however its bytes arrive`, t => {
        const chosen = fc.array(fc.constantFrom(...messages), { minLength: 1, maxLength: 5 });
        fc.assert(fc.property(chosen, fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }), (sent, sizes) => {
            const bytes = Buffer.from(sent.join(""), "latin1");
            const chunks: Buffer[] = [];
            for (let at = 0, turn = 0; at < bytes.length; turn++) {
                const size = sizes[turn % sizes.length] ?? 1;
                chunks.push(bytes.subarray(at, at + size));
                at += size;
            }
            return JSON.stringify(split({ kind }, chunks)) === JSON.stringify(sent);
        }));
        t.pass();
    });
}

test("a response without a length does not end before its connection", t => {
    const reader = new MessageReader({ kind: "response" });
    reader.read(Buffer.from("HTTP/1.1 200 OK\r\n\r\nwhole?"));
    t.false(reader.isComplete);
    t.is(reader.head?.isFramed, false);
    t.is(reader.head?.keepsConnection, false);
});

test("a response to HEAD ends with its head", t => {
    const reader = new MessageReader({ kind: "response", hasNoBody: true });
    const head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    t.is(reader.read(Buffer.from(`${head}HTTP`)), head.length);
});

test("bytes that are no message are told", t => {
    const reader = new MessageReader({ kind: "request" });
    reader.read(Buffer.from("no message\r\n\r\n"));
    t.true(reader.isInvalid);
    t.false(reader.isComplete);
});

test("a request whose length is no number is told", t => {
    const reader = new MessageReader({ kind: "request" });
    const bytes = Buffer.from("POST /a HTTP/1.1\r\nContent-Length: 5\r\n 6\r\n\r\n12345");
    t.is(reader.read(bytes), bytes.length);
    t.true(reader.isInvalid);
});
