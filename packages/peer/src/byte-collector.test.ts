import test from "ava";
import { ByteCollector } from "./byte-collector.js";

const SMALL_CHUNKS = 1_000_000;

/** Several times the bytes, as buffers grow; a buffer for each byte would take a hundred times as much. */
const MAX_MEMORY_BYTES = 16 * SMALL_CHUNKS;

const getMemoryBytes = (): number => {
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
};

// Guards against a message in small chunks that takes the memory of the whole instance.
test.serial("a message in chunks of one byte does not take many times its size in memory", t => {
    const collector = new ByteCollector();
    const source = Buffer.alloc(SMALL_CHUNKS, "x");
    const before = getMemoryBytes();
    let most = 0;
    for (let at = 0; at < SMALL_CHUNKS; at++) {
        collector.add(source.subarray(at, at + 1));
        if (at % 100_000 === 0) {
            most = Math.max(most, getMemoryBytes() - before);
        }
    }
    t.true(most < MAX_MEMORY_BYTES + 32 * 1_024 * 1_024, `${most} bytes`);
    t.true(collector.take().equals(source));
});

test("chunks are returned in order, once", t => {
    const collector = new ByteCollector();
    const chunks = ["a", "", "b".repeat(5_000), "c"].map(text => Buffer.from(text));
    chunks.forEach(chunk => collector.add(chunk));
    t.is(collector.size, 5_002);
    t.is(collector.getLast(2).toString(), "bc");
    t.true(collector.take().equals(Buffer.concat(chunks)));
    t.is(collector.size, 0);
    t.is(collector.take().length, 0);
});

test("a single chunk is returned without a copy, whatever empty ones come with it", t => {
    const collector = new ByteCollector();
    const chunk = Buffer.from("only");
    [Buffer.alloc(0), chunk, Buffer.alloc(0)].forEach(it => collector.add(it));
    t.is(collector.take(), chunk);
});

test("chunks that were taken are not changed by later ones", t => {
    const collector = new ByteCollector();
    const first = Buffer.from("first");
    collector.add(first.subarray(0, 2));
    collector.add(Buffer.from("x"));
    const taken = collector.take();
    collector.add(Buffer.from("later"));
    collector.add(Buffer.from("and more"));
    t.is(taken.toString(), "fix");
    t.is(first.toString(), "first");
});
