import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { CALLER_KEY, type CallerFleet, startCallerFleet, STRANGER_KEY } from "./caller-fleet.js";
import { createHead, openRaw, type RawAnswer } from "./raw-connection.js";

const MAX_BODY_BYTES = 65_536;
const BODY_TIMEOUT_MS = 500;
const LATE_WRITE_MS = 150;
const MODEL_PATH = "/v1/chat/completions";
const AUTHORIZATION = { authorization: `Bearer ${CALLER_KEY}`, "content-type": "application/json" };

const startSmall = (t: ExecutionContext): Promise<CallerFleet> =>
    startCallerFleet({
        cleanup: t,
        settings: { limits: { maxBodyBytes: MAX_BODY_BYTES, bodyTimeoutMs: BODY_TIMEOUT_MS } },
    });

const createBody = (change: Readonly<Record<string, unknown>> = {}): string =>
    JSON.stringify({ model: "reader", messages: [{ role: "user", content: "hostile" }], ...change });

interface Sent {
    readonly method?: "GET" | "POST" | "PUT";
    readonly path?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | Buffer;
}

const send = async (fleet: CallerFleet, sent: Sent): Promise<RawAnswer> => {
    const res = await request(fleet.url() + (sent.path ?? MODEL_PATH), {
        method: sent.method ?? "POST",
        headers: { ...AUTHORIZATION, ...sent.headers },
        ...(sent.body === undefined ? {} : { body: sent.body }),
    });
    return { status: res.statusCode, head: JSON.stringify(res.headers), body: await res.body.text() };
};

/** Checks that a refusal says by its code that nothing ran. */
const checkNotRun = (t: ExecutionContext, answer: RawAnswer, status: number, code: number, what: string): void => {
    t.is(answer.status, status, `${what}: ${answer.head} ${answer.body}`);
    const { error } = JSON.parse(answer.body) as { error: { code: number; outcome: string; message: string; }; };
    t.is(error.code, code, what);
    t.is(error.outcome, "not_run", what);
    t.true(error.message.length > 0, what);
};

/** Checks that nothing hostile reached a target and that a fresh connection is served. */
const checkUnharmed = async (t: ExecutionContext, fleet: CallerFleet): Promise<void> => {
    const messages = [{ role: "user", content: "served len=3" }];
    const fresh = await openRaw(fleet.url());
    const body = JSON.stringify({ model: "reader", messages });
    const headers = { ...AUTHORIZATION, "content-length": body.length, connection: "close" };
    fresh.send(createHead("POST", MODEL_PATH, headers) + body);
    t.is((await fresh.readToEnd()).status, 200);
    t.true((await fleet.getRuns()).every(run => run.prompt === "served len=3"));
    t.deepEqual(await fleet.getServiceCalls(), []);
};

const nest = (depth: number): string => "[".repeat(depth) + "]".repeat(depth);

test("requests of a wrong shape are refused with a code and not run", async t => {
    const fleet = await startSmall(t);
    const image = [{ type: "image_url", image_url: { url: "data:image/png;base64,AAAA" } }];
    const cases: readonly (readonly [string, Sent, number, number])[] = [
        ["no JSON", { body: "{\"model\":" }, 400, 2001],
        ["not UTF-8", { body: Buffer.from(createBody().replace("hostile", "\u00ff"), "latin1") }, 400, 2001],
        ["empty body", { body: "" }, 400, 2001],
        ["an array", { body: "[]" }, 400, 2001],
        ["wrong type", { body: createBody({ max_tokens: "many" }) }, 400, 2001],
        ["negative tokens", { body: createBody({ max_tokens: -1 }) }, 400, 2001],
        ["unknown field", { body: createBody({ best_of: 8 }) }, 400, 2001],
        ["prototype", { body: createBody().replace("{", "{\"__proto__\":{\"stream\":true},") }, 400, 2001],
        ["image part", { body: createBody({ messages: [{ role: "user", content: image }] }) }, 400, 2001],
        ["two answers", { body: createBody({ n: 2 }) }, 400, 2001],
        ["deep nesting", { body: createBody({ tools: "X" }).replace("\"X\"", nest(20_000)) }, 400, 2001],
        ["wrong method", { method: "PUT", body: createBody() }, 400, 2001],
        ["unknown model", { body: createBody({ model: "nothing" }) }, 403, 2003],
        ["unknown path", { path: "/v1/models", method: "GET" }, 404, 2004],
        ["odd path", { path: "/%00/..%2f", method: "GET" }, 404, 2004],
        ["no token", { body: createBody(), headers: { authorization: "" } }, 401, 2002],
        ["wrong token", { body: createBody(), headers: { authorization: "Bearer nobody" } }, 401, 2002],
        ["other scheme", { body: createBody(), headers: { authorization: "Basic eDp5" } }, 401, 2002],
        [
            "team without rule",
            {
                body: createBody(),
                headers: { authorization: `Bearer ${STRANGER_KEY}` },
            },
            403,
            2003,
        ],
        [
            "service without rule",
            {
                path: "/v1/services/tickets/open",
                body: "{}",
                headers: { authorization: `Bearer ${STRANGER_KEY}` },
            },
            403,
            2003,
        ],
        ["unknown service", { path: "/v1/services/nothing", body: "{}" }, 403, 2003],
        ["model as service", { path: "/v1/services/reader", body: "{}" }, 400, 2001],
        ["key with a space", { body: createBody(), headers: { "idempotency-key": "a b" } }, 400, 2001],
        ["long key", { body: createBody(), headers: { "idempotency-key": "k".repeat(256) } }, 400, 2001],
        ["declared oversize", { body: createBody({ user: "x".repeat(MAX_BODY_BYTES) }) }, 413, 2005],
    ];
    for (const [what, sent, status, code] of cases) {
        checkNotRun(t, await send(fleet, sent), status, code, what);
    }
    await checkUnharmed(t, fleet);
});

test("methods that a service does not take are refused and not run", async t => {
    const fleet = await startSmall(t);
    const conn = await openRaw(fleet.url());
    const headers = { ...AUTHORIZATION, connection: "close" };
    conn.send(createHead("PROPFIND", "/v1/services/tickets/open", headers));
    checkNotRun(t, await conn.readToEnd(), 400, 2001, "PROPFIND");
    await checkUnharmed(t, fleet);
});

test("a chunked body beyond the limit is refused with a code", async t => {
    const fleet = await startSmall(t);
    const conn = await openRaw(fleet.url());
    conn.send(createHead("POST", MODEL_PATH, { ...AUTHORIZATION, "transfer-encoding": "chunked" }));
    const chunk = "x".repeat(16_384);
    for (let i = 0; i < 64; i++) {
        conn.send(`${chunk.length.toString(16)}\r\n${chunk}\r\n`);
    }
    checkNotRun(t, await conn.readToEnd(), 413, 2005, "chunked");
    await checkUnharmed(t, fleet);
});

test("a caller that goes on sending a body that is too long still reads the refusal", async t => {
    const fleet = await startSmall(t);
    const conn = await openRaw(fleet.url());
    const length = 8 * 1_048_576;
    conn.send(createHead("POST", MODEL_PATH, { ...AUTHORIZATION, "content-length": length }));
    conn.send(Buffer.alloc(length, "x"));
    checkNotRun(t, await conn.readToEnd(), 413, 2005, "declared");
    await checkUnharmed(t, fleet);
});

test("a caller that is still sending when its body has been refused reads the refusal", async t => {
    const fleet = await startSmall(t);
    const conn = await openRaw(fleet.url());
    const length = MAX_BODY_BYTES + 1;
    conn.socket.pause();
    conn.send(createHead("POST", MODEL_PATH, { ...AUTHORIZATION, "content-length": length }) + "x".repeat(length));
    // Each write to a connection that the instance has closed is answered by a reset, which fails the write after it.
    for (let writes = 0; writes < 3; writes++) {
        await sleep(LATE_WRITE_MS);
        conn.send(createHead("GET", "/health", AUTHORIZATION));
    }
    conn.socket.resume();
    checkNotRun(t, await conn.readToEnd(), 413, 2005, "late writes");
    await checkUnharmed(t, fleet);
});

test("headers beyond the limit are refused with a code", async t => {
    const fleet = await startSmall(t);
    const conn = await openRaw(fleet.url());
    conn.send(createHead("POST", MODEL_PATH, { ...AUTHORIZATION, "x-long": "x".repeat(32_768) }));
    checkNotRun(t, await conn.readToEnd(), 413, 2005, "headers");
    await checkUnharmed(t, fleet);
});

test("bytes that are no HTTP are refused with a code", async t => {
    const fleet = await startSmall(t);
    const conn = await openRaw(fleet.url());
    conn.send("\u0016\u0003\u0001 no HTTP\r\n\r\n");
    checkNotRun(t, await conn.readToEnd(), 400, 2001, "no HTTP");
    const chunked = await openRaw(fleet.url());
    chunked.send(createHead("POST", MODEL_PATH, { ...AUTHORIZATION, "transfer-encoding": "chunked" }) + "zz\r\n");
    checkNotRun(t, await chunked.readToEnd(), 400, 2001, "bad chunk");
    await checkUnharmed(t, fleet);
});

test("a body that comes too slowly is refused with a code", async t => {
    const fleet = await startSmall(t);
    const conn = await openRaw(fleet.url());
    conn.send(createHead("POST", MODEL_PATH, { ...AUTHORIZATION, "content-length": 100 }) + "{");
    checkNotRun(t, await conn.readToEnd(), 408, 2006, "slow body");
    await checkUnharmed(t, fleet);
});

test("headers that come too slowly are refused with a code", async t => {
    const fleet = await startSmall(t);
    const conn = await openRaw(fleet.url());
    conn.send("POST /v1/chat/completions HTTP/1.1\r\nhost: caller\r\n");
    checkNotRun(t, await conn.readToEnd(), 408, 2006, "slow headers");
    await checkUnharmed(t, fleet);
});

test("what follows a refused body on the same connection is not run", async t => {
    const fleet = await startSmall(t);
    const conn = await openRaw(fleet.url());
    const length = MAX_BODY_BYTES + 1;
    const body = createBody();
    const next = createHead("POST", MODEL_PATH, { ...AUTHORIZATION, "content-length": body.length }) + body;
    conn.send(createHead("POST", MODEL_PATH, { ...AUTHORIZATION, "content-length": length }) + "x".repeat(length));
    conn.send(next);
    // The refused body itself holds a whole request too.
    conn.send(next);
    checkNotRun(t, await conn.readToEnd(), 413, 2005, "pipelined");
    const hidden = await openRaw(fleet.url());
    hidden.send(createHead("POST", MODEL_PATH, { ...AUTHORIZATION, "content-length": length }) + next);
    hidden.socket.end();
    checkNotRun(t, await hidden.readToEnd(), 413, 2005, "hidden");
    await checkUnharmed(t, fleet);
});

test("a caller that has closed its own direction still gets its answer", async t => {
    const fleet = await startSmall(t);
    const conn = await openRaw(fleet.url(), true);
    const body = JSON.stringify({ model: "reader", messages: [{ role: "user", content: "served len=3" }] });
    conn.send(createHead("POST", MODEL_PATH, { ...AUTHORIZATION, "content-length": body.length }) + body);
    conn.socket.end();
    t.is((await conn.readToEnd()).status, 200);
    await checkUnharmed(t, fleet);
});

test("a malformed second request does not pass for the answer to the first", async t => {
    const fleet = await startCallerFleet({ cleanup: t, engineArgs: ["--first-token-ms", "300"] });
    const conn = await openRaw(fleet.url());
    const body = JSON.stringify({ model: "reader", messages: [{ role: "user", content: "served len=3" }] });
    conn.send(createHead("POST", MODEL_PATH, { ...AUTHORIZATION, "content-length": body.length }) + body);
    while ((await fleet.getRuns()).length === 0) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    conn.send("no HTTP\r\n\r\n");
    t.not((await conn.readToEnd()).status, 400);
});

test("a body full of faults gets a short refusal", async t => {
    const fleet = await startSmall(t);
    const answer = await send(fleet, { body: createBody({ messages: Array(20_000).fill(1) }) });
    checkNotRun(t, answer, 400, 2001, "many faults");
    t.true(answer.body.length < 2_048);
    await checkUnharmed(t, fleet);
});

test("a request whose line holds a whole URL is passed on to the instance that knows its key", async t => {
    const fleet = await startCallerFleet({ instances: 2, cleanup: t });
    const body = JSON.stringify({ model: "reader", messages: [{ role: "user", content: "served len=3" }] });
    const headers = { ...AUTHORIZATION, "content-length": body.length, "idempotency-key": "a", connection: "close" };
    const answers: RawAnswer[] = [];
    for (const index of [0, 1]) {
        const conn = await openRaw(fleet.url(index));
        conn.send(createHead("POST", `http://caller${MODEL_PATH}`, headers) + body);
        answers.push(await conn.readToEnd());
    }
    t.deepEqual(answers.map(answer => answer.status), [200, 200]);
    t.is((await fleet.getRuns()).length, 1);
});

test("a body that ends with the caller's own direction is refused with a code", async t => {
    const fleet = await startSmall(t);
    const conn = await openRaw(fleet.url(), true);
    conn.send(createHead("POST", MODEL_PATH, { ...AUTHORIZATION, "content-length": 100 }) + "{");
    conn.socket.end();
    checkNotRun(t, await conn.readToEnd(), 400, 2001, "cut body");
    await checkUnharmed(t, fleet);
});

test("a caller that vanishes within its body leaves nothing behind", async t => {
    const fleet = await startSmall(t);
    const conns = await Promise.all(Array.from({ length: 50 }, () => openRaw(fleet.url())));
    for (const { socket } of conns) {
        socket.write(createHead("POST", MODEL_PATH, { ...AUTHORIZATION, "content-length": 100 }) + "{");
        socket.resetAndDestroy();
    }
    await checkUnharmed(t, fleet);
    const dump = await fleet.fleet.instance(0).operator.getDump() as { requestsRunning: number; };
    t.is(dump.requestsRunning, 0);
    t.deepEqual(await fleet.fleet.instance(0).stop(), { code: 0, signal: undefined });
});

test("requests that are sent without waiting are answered in their order", async t => {
    const fleet = await startSmall(t);
    const conn = await openRaw(fleet.url());
    const lengths = [9, 1, 5];
    for (const length of lengths) {
        const messages = [{ role: "user", content: `served len=${length}` }];
        const body = JSON.stringify({ model: "reader", messages });
        conn.send(createHead("POST", MODEL_PATH, { ...AUTHORIZATION, "content-length": body.length }) + body);
    }
    conn.send(createHead("GET", "/health", { connection: "close" }));
    await conn.closed;
    const told = [...conn.text.matchAll(/"completion_tokens":(\d+)/g)].map(match => Number(match[1]));
    t.deepEqual(told, lengths);
});
