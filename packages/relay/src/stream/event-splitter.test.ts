import test from "ava";
import fc from "fast-check";
import { EventSplitter, MAX_EVENT_BYTES } from "./event-splitter.js";

const EVENTS = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversion: 3\nid: 3\ndata: c\n\n";

test("events are returned complete wherever the chunks are split", t => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 20 }), { maxLength: 40 }), sizes => {
        const splitter = new EventSplitter();
        const bytes = Buffer.from(EVENTS);
        const ids: number[] = [];
        const out: Buffer[] = [];
        let at = 0;
        for (const size of [...sizes, bytes.length]) {
            const split = splitter.push(bytes.subarray(at, Math.min(bytes.length, at + size)));
            at = Math.min(bytes.length, at + size);
            ids.push(...split.ids);
            out.push(split.bytes);
        }
        return Buffer.concat(out).toString() === EVENTS && ids.join() === "1,2,3" && splitter.pendingBytes === 0;
    }));
    t.pass();
});

test("an incomplete event is buffered", t => {
    const splitter = new EventSplitter();
    t.is(splitter.push(Buffer.from("id: 1\ndata: a\n")).count, 0);
    t.true(splitter.pendingBytes > 0);
    t.is(splitter.push(Buffer.from("\nid: 2")).count, 1);
    t.is(splitter.pendingBytes, 5);
});

test("a large event in many chunks is split in linear time", t => {
    const splitter = new EventSplitter();
    const startedAtMs = performance.now();
    for (let bytes = 0; bytes < MAX_EVENT_BYTES - 100; bytes += 16) {
        splitter.push(Buffer.from("data: 123456789\n"));
    }
    t.is(splitter.push(Buffer.from("\n")).count, 1);
    t.is(splitter.pendingBytes, 0);
    t.true(performance.now() - startedAtMs < 2_000);
});

test("an event beyond the limit is not buffered", t => {
    const splitter = new EventSplitter();
    splitter.push(Buffer.alloc(MAX_EVENT_BYTES, "x"));
    t.throws(() => splitter.push(Buffer.from("x")), { message: /exceeds/ });
});

test("comments and blank lines are returned, but not counted as events", t => {
    const splitter = new EventSplitter();
    const text = ": ping\n\n\n\nid: 1\n: comment\ndata: a\n\n: ping\r\n\r\n";
    const split = splitter.push(Buffer.from(text));
    t.is(split.bytes.toString(), text);
    t.is(split.count, 1);
    t.deepEqual(split.ids, [1]);
});

test("a stream may end after blank lines, but not within a comment or an event", t => {
    const finish = (text: string): string | undefined => {
        const splitter = new EventSplitter();
        splitter.push(Buffer.from(text));
        return splitter.finish()?.toString();
    };
    t.is(finish("id: 1\n\n"), "");
    t.is(finish("id: 1\n\n\n"), "\n");
    t.is(finish("id: 1\r\n\r\n\r\n"), "\r\n");
    t.is(finish("id: 1\n\n: ping"), undefined);
    t.is(finish("id: 1\n\ndata: a\n"), undefined);
});
