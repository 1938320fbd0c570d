import { hasResult } from "@ospreyreel/errors";
import test from "ava";
import fc from "fast-check";
import { parseModelBody } from "./model-request.js";

const FIXED = { seed: 20_261_203, numRuns: 2_000 };

const valid = Buffer.from(JSON.stringify({
    model: "reader",
    messages: [{ role: "user", content: [{ type: "text", text: "gr\u00fc\u00df" }] }, { role: "user", content: "b" }],
    stream: true,
    stream_options: { include_usage: true },
    max_tokens: 12,
    n: 1,
    temperature: 0.5,
    tools: [{ type: "function", function: { name: "f", parameters: {} } }],
}));

const parses = (body: Buffer, chat: boolean): boolean => {
    try {
        parseModelBody(body, chat);
        return true;
    }
    catch (err) {
        if (hasResult(err, "badRequest")) {
            return false;
        }
        throw err;
    }
};

const edit = fc.record({ at: fc.nat(valid.length), remove: fc.nat(4), insert: fc.uint8Array({ maxLength: 4 }) });

test("a body with any bytes changed is accepted or rejected as badRequest, and nothing else is thrown", t => {
    t.true(parses(valid, true));
    fc.assert(
        fc.property(fc.array(edit, { minLength: 1, maxLength: 4 }), fc.boolean(), (edits, chat) => {
            const mutated = edits.reduce(
                (body, { at, remove, insert }) =>
                    Buffer.concat([body.subarray(0, at), insert, body.subarray(at + remove)]),
                valid,
            );
            parses(mutated, chat);
        }),
        FIXED,
    );
});

test("any JSON value is accepted or rejected as badRequest", t => {
    fc.assert(
        fc.property(fc.json(), fc.boolean(), (text, chat) => {
            parses(Buffer.from(text), chat);
        }),
        FIXED,
    );
    t.pass();
});

test("fields that multiply the output or whose tokens are not bounded by their bytes are rejected", t => {
    const body = (change: Readonly<Record<string, unknown>>): Buffer =>
        Buffer.from(JSON.stringify({ model: "reader", messages: [{ role: "user", content: "a" }], ...change }));
    t.true(parses(body({}), true));
    t.true(parses(body({ n: 1 }), true));
    const content = [{ type: "image_url", image_url: { url: "http://127.0.0.1/" } }];
    const refused: readonly Readonly<Record<string, unknown>>[] = [
        { n: 2 },
        { best_of: 2 },
        { logprobs: true },
        { max_tokens: 0 },
        { max_tokens: 1.5 },
        { messages: [] },
        { messages: [{ role: "user", content }] },
        { messages: [{ role: "assistant", content: "a", audio: { id: "x" } }] },
    ];
    refused.forEach(change => t.false(parses(body(change), true), JSON.stringify(change)));
    t.false(parses(body({}), false));
});
