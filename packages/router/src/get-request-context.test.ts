import { hasResult } from "@ospreyreel/errors";
import test from "ava";
import fc from "fast-check";
import { createContextInput, MAX_TOKENS } from "./fixtures/create-context.js";
import { getRequestContext } from "./get-request-context.js";

const FIXED = { seed: 20_261_203, numRuns: 300 };

const createBody = (change: Readonly<Record<string, unknown>>): string =>
    JSON.stringify({ model: "reader", messages: [{ role: "user", content: "a" }], ...change });

const getSent = (change: Readonly<Record<string, unknown>>): Readonly<Record<string, unknown>> => {
    const { body } = getRequestContext(createContextInput({ body: createBody(change) }));
    return JSON.parse(body.toString("utf8")) as Readonly<Record<string, unknown>>;
};

test("max_tokens sent to the target is the smaller of the requested value and the offering's cap", t => {
    t.is(getSent({}).max_tokens, MAX_TOKENS);
    t.is(getSent({ max_tokens: 5 }).max_tokens, 5);
    t.is(getSent({ max_tokens: 5_000 }).max_tokens, MAX_TOKENS);
    t.is(getSent({ max_completion_tokens: 7, max_tokens: 5 }).max_tokens, 7);
    t.false("max_completion_tokens" in getSent({ max_completion_tokens: 7 }));
});

test("the body sent to the target names the offering's model and keeps the caller's other fields", t => {
    const sent = getSent({ temperature: 0.5, stop: ["x"] });
    t.is(sent.model, "reader@2");
    t.is(sent.temperature, 0.5);
    t.deepEqual(sent.stop, ["x"]);
    t.is(sent.stream_options, undefined);
    t.deepEqual(getSent({ stream: true, stream_options: { include_usage: false } }).stream_options, {
        include_usage: true,
    });
});

test("usage is sent to the caller only if it was requested", t => {
    const wantsUsage = (change: Readonly<Record<string, unknown>>): boolean =>
        getRequestContext(createContextInput({ body: createBody(change) })).wantsUsage;
    t.false(wantsUsage({ stream: true }));
    t.true(wantsUsage({ stream: true, stream_options: { include_usage: true } }));
});

test("the worst case covers the bytes of any prompt and the output cap", t => {
    const content = fc.string({ unit: "binary", maxLength: 200 });
    t.notThrows(() =>
        fc.assert(
            fc.property(content, fc.option(fc.integer({ min: 1, max: 1_000 }), { nil: undefined }), (text, asked) => {
                const change = { messages: [{ role: "user", content: text }], ...(asked && { max_tokens: asked }) };
                const { worstCaseTokens } = getRequestContext(createContextInput({ body: createBody(change) }));
                return worstCaseTokens >= Buffer.byteLength(text) + Math.min(asked ?? MAX_TOKENS, MAX_TOKENS);
            }),
            FIXED,
        )
    );
});

test("the worst case covers numbers that grow when serialized and tools that a template indents", t => {
    const numbers = `[${Array(50).fill("1e20").join()}]`;
    const body = createBody({ tools: "X" }).replace("\"X\"", `[${"[".repeat(20)}${numbers}${"]".repeat(20)}]`);
    const { worstCaseTokens } = getRequestContext(createContextInput({ body }));
    const { tools } = JSON.parse(body) as { tools: unknown; };
    t.true(worstCaseTokens >= Buffer.byteLength(JSON.stringify(tools, undefined, 4)) + MAX_TOKENS);
});

test("a service call keeps path, query, method and body, and costs the offering's tokens per call", t => {
    const ctx = getRequestContext(createContextInput({
        method: "PUT",
        path: "/v1/services/tickets/open/7",
        query: "?urgent=1",
        body: "pump",
    }));
    t.is(ctx.targetPath, "/open/7?urgent=1");
    t.is(ctx.method, "PUT");
    t.is(ctx.body.toString(), "pump");
    t.is(ctx.worstCaseTokens, 3);
    t.false(ctx.idempotent);
});

test("the fingerprint differs by body, path and method, and the key is read from its header", t => {
    const get = (change: Parameters<typeof createContextInput>[0]): string =>
        getRequestContext(createContextInput(change)).fingerprint;
    const service = { path: "/v1/services/tickets/open", body: "a" };
    const prints = [
        get(service),
        get({ ...service, body: "b" }),
        get({ ...service, query: "?a" }),
        get({ ...service, method: "PUT" }),
    ];
    t.is(new Set(prints).size, prints.length);
    const keyed = getRequestContext(createContextInput({ headers: { "idempotency-key": "k" } }));
    t.deepEqual([keyed.keyed, keyed.requestKey], [true, "k"]);
    const unkeyed = getRequestContext(createContextInput());
    t.deepEqual([unkeyed.keyed, unkeyed.requestKey], [false, "request-1"]);
});

test("an invalid key, method or model is rejected", t => {
    const refuse = (change: Parameters<typeof createContextInput>[0]) =>
        t.throws(() => getRequestContext(createContextInput(change)));
    t.true(hasResult(refuse({ headers: { "idempotency-key": "a b" } }), "badRequest"));
    t.true(hasResult(refuse({ headers: { "idempotency-key": "" } }), "badRequest"));
    t.true(hasResult(refuse({ method: "GET" }), "badRequest"));
    t.true(hasResult(refuse({ method: "TRACE", path: "/v1/services/tickets" }), "badRequest"));
    t.true(hasResult(refuse({ body: createBody({ model: "other" }) }), "forbidden"));
    t.true(hasResult(refuse({ headers: { authorization: "Bearer other" } }), "unauthorized"));
});
