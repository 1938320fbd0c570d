import test from "ava";
import * as fc from "fast-check";
import { FrameError } from "./errors.js";
import { encodeFrame, FrameDecoder, HEADER_BYTES } from "./frame-decoder.js";
import { createInfo } from "./hub-fixtures.js";
import { decodeMessage, encodeMessage } from "./message-codec.js";
import type { Message } from "./messages.js";

const MAX_FRAME_BYTES = 2_048;
const MAX_CHUNK_BYTES = 64;

const record = { info: createInfo(), generation: 5, version: 1 };
const samples: readonly Message[] = [
    { kind: "hello", version: 1, nonce: Buffer.alloc(32), member: record },
    { kind: "request", id: 1, to: "b-1", name: "config.get", body: { list: [1, "two", { three: 3 }] } },
    { kind: "heartbeat", member: record },
    { kind: "heartbeat", suspicions: [{ instance: "a", incarnation: "a-1", version: 2, stopped: false }] },
    { kind: "digest", buckets: [1, 2, 3], wantsAnswer: true },
];

/** Reads bytes in chunks; returns the messages, or undefined after a FrameError. */
const readAll = (bytes: Buffer, chunkBytes: number): readonly Message[] | undefined => {
    const decoder = new FrameDecoder({ maxFrameBytes: MAX_FRAME_BYTES });
    const messages: Message[] = [];
    try {
        for (let at = 0; at < bytes.length; at += chunkBytes) {
            for (const body of decoder.push(bytes.subarray(at, at + chunkBytes))) {
                messages.push(decodeMessage(body));
            }
            if (decoder.bufferedBytes > HEADER_BYTES + MAX_FRAME_BYTES + MAX_CHUNK_BYTES) {
                throw new Error("the decoder holds more than a frame and a chunk");
            }
        }
        return messages;
    }
    catch (err) {
        if (err instanceof FrameError) {
            return undefined;
        }
        throw err;
    }
};

test("messages are decoded unchanged, however the bytes are split", t => {
    const bytes = Buffer.concat(samples.map(message => encodeFrame(encodeMessage(message))));
    fc.assert(fc.property(fc.integer({ min: 1, max: MAX_CHUNK_BYTES }), chunkBytes => {
        t.deepEqual(readAll(bytes, chunkBytes), samples);
    }));
});

test("changed bytes result in messages or a FrameError, nothing else", t => {
    const bytes = Buffer.concat(samples.map(message => encodeFrame(encodeMessage(message))));
    const mutation = fc.record({ at: fc.nat(bytes.length - 1), value: fc.nat(255) });
    const mutations = fc.array(mutation, { minLength: 1, maxLength: 8 });
    fc.assert(
        fc.property(mutations, fc.integer({ min: 1, max: MAX_CHUNK_BYTES }), (changes, chunkBytes) => {
            const changed = Buffer.from(bytes);
            changes.forEach(({ at, value }) => changed[at] = value);
            readAll(changed, chunkBytes);
        }),
        { numRuns: 2_000 },
    );
    t.pass();
});

test("random bodies result in messages or a FrameError", t => {
    fc.assert(
        fc.property(fc.uint8Array({ minLength: 1, maxLength: 200 }), bytes => {
            readAll(encodeFrame(Buffer.from(bytes)), MAX_CHUNK_BYTES);
        }),
        { numRuns: 2_000 },
    );
    t.pass();
});

test("an invalid element count allocates no memory", t => {
    // Nested arrays, each with a count of millions of elements.
    const nested = Buffer.concat(Array.from({ length: 100 }, () => Buffer.from([0x9a, 0x00, 0x7f, 0xff, 0xff])));
    t.throws(() => decodeMessage(nested), { instanceOf: FrameError });
});
