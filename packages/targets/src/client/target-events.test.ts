import test from "ava";
import fc from "fast-check";
import { END_MARK, type TargetEvent } from "./target-calls.js";
import { readEvents } from "./target-events.js";

const createBody = (text: string, sliceBytes = Number.MAX_SAFE_INTEGER): AsyncIterable<Uint8Array> => {
    const bytes = Buffer.from(text);
    return (async function*() {
        for (let i = 0; i < bytes.length; i += sliceBytes) {
            yield await Promise.resolve(bytes.subarray(i, i + sliceBytes));
        }
    })();
};

const readAll = async (body: AsyncIterable<Uint8Array>, from = 1): Promise<readonly TargetEvent[]> => {
    const events: TargetEvent[] = [];
    for await (const event of readEvents(body, from)) {
        events.push(event);
    }
    return events;
};

test("events are the same however the bytes are split", async t => {
    const texts = fc.array(fc.string({ unit: "grapheme", minLength: 1 }).map(text => JSON.stringify(text)));
    await fc.assert(fc.asyncProperty(texts, fc.integer({ min: 1, max: 9 }), async (data, sliceBytes) => {
        const all = [...data, END_MARK];
        const text = all.map((value, i) => `id: ${i + 1}\ndata: ${value}\n\n`).join("");
        const events = await readAll(createBody(text, sliceBytes));
        t.deepEqual(events, all.map((value, i) => ({ id: i + 1, data: value })));
    }));
});

test("a gap, a repeated event and an end without the mark are rejected", async t => {
    await t.throwsAsync(readAll(createBody("id: 1\ndata: a\n\nid: 3\ndata: c\n\n")), { message: /event 3/ });
    await t.throwsAsync(readAll(createBody("id: 1\ndata: a\n\nid: 1\ndata: a\n\n")), { message: /event 1/ });
    await t.throwsAsync(readAll(createBody("id: 1\ndata: a\n\n")), { message: /without its end mark/ });
    await t.throwsAsync(readAll(createBody("id: 1\ndata: [DO")), { message: /without its end mark/ });
});

test("events without a number are numbered by position", async t => {
    const events = await readAll(createBody("data: a\n\ndata: [DONE]\n\n"), 4);
    t.deepEqual(events.map(event => event.id), [4, 5]);
});
