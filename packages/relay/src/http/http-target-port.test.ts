import type { ResponseEnd } from "@ospreyreel/targets";
import test, { type ExecutionContext } from "ava";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { KnownEnds } from "../fixtures/known-ends.js";
import { createCall, createRequest, PlainTargetProtocol } from "../fixtures/plain-protocol.js";
import { createRawTarget, type RawTarget } from "../fixtures/raw-target.js";
import type { TargetOutcome } from "../targets/target-port.js";
import { TargetState } from "../targets/target-state.js";
import { HttpTargetPort } from "./http-target-port.js";

const open = async (
    t: ExecutionContext,
    answer: (socket: Socket, request: string) => void,
    end: ResponseEnd | Promise<ResponseEnd> = "whole",
): Promise<RawTarget & { readonly port: HttpTargetPort; }> => {
    const raw = await createRawTarget(answer);
    const port = new HttpTargetPort(new PlainTargetProtocol(), new KnownEnds(end));
    t.teardown(async () => {
        await port.close();
        raw.server.close();
    });
    return { ...raw, port };
};

const readBody = async (outcome: TargetOutcome): Promise<string> => {
    if (outcome.kind !== "answer") {
        throw new Error(`expected a response, got ${outcome.kind}`);
    }
    const chunks: Buffer[] = [];
    for await (const chunk of outcome.body) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("latin1");
};

const HEAD = "HTTP/1.1 200 OK\r\nid: request-1\r\n";

test("a response without a length ends with its connection", async t => {
    const { port, target } = await open(t, socket => socket.end(`${HEAD}\r\nwhole`));
    t.is(await readBody(await port.send(createCall(target))), "whole");
});

test("a response without a length is truncated, not complete, if its connection is reset", async t => {
    const { port, target } = await open(t, socket => {
        socket.write(`${HEAD}\r\npart`, () => setTimeout(() => socket.resetAndDestroy(), 30));
    });
    const outcome = await port.send(createCall(target));
    await t.throwsAsync(readBody(outcome));
});

test("a response without a length is truncated if the reset of its connection is read together with its bytes", async t => {
    const { port, target } = await open(t, socket => {
        socket.write(`${HEAD}\r\npart`, () => socket.resetAndDestroy());
    });
    for (const isRepeatable of [true, false]) {
        const outcome = await port.send(createCall(target, { isRepeatable }));
        await t.throwsAsync(async () => await readBody(outcome));
    }
});

test("a response without a length is complete if its connection is closed together with its bytes", async t => {
    const { port, target } = await open(t, socket => socket.write(`${HEAD}\r\nwhole`, () => socket.end()));
    for (let i = 0; i < 3; i += 1) {
        t.is(await readBody(await port.send(createCall(target))), "whole");
    }
});

for (const end of ["cut", "unknown"] as const) {
    test(`a response without a length is truncated if the end of its connection is judged as ${end}`, async t => {
        const { port, target } = await open(t, socket => socket.end(`${HEAD}\r\npart`), end);
        const outcome = await port.send(createCall(target));
        await t.throwsAsync(readBody(outcome));
    });
}

test("a response with a length is whole, however the end of its connection would be judged", async t => {
    const { port, target } = await open(t, socket => socket.end(`${HEAD}content-length: 5\r\n\r\nwhole`), "cut");
    t.is(await readBody(await port.send(createCall(target))), "whole");
});

test("a response without a length is truncated if the request's time ends before its end is judged", async t => {
    const { port, target } = await open(t, socket => socket.end(`${HEAD}\r\nwhole`), new Promise(() => undefined));
    const controller = new AbortController();
    const outcome = await port.send(createCall(target, { signal: controller.signal }));
    const body = t.throwsAsync(readBody(outcome));
    await sleep(50);
    controller.abort();
    await body;
});

test("a response shorter than its length is truncated", async t => {
    const { port, target } = await open(t, socket => socket.end(`${HEAD}content-length: 9\r\n\r\npart`));
    const outcome = await port.send(createCall(target));
    await t.throwsAsync(readBody(outcome));
});

test("a response to another request is rejected, and its connection is not reused", async t => {
    const used: Socket[] = [];
    const { port, target } = await open(t, socket => {
        used.push(socket);
        socket.write("HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 1\r\n\r\nx");
    });
    t.is((await port.send(createCall(target))).kind, "failed");
    t.is((await port.send(createCall(target))).kind, "failed");
    t.is(used.length, 2);
    t.not(used[0], used[1]);
});

test("bytes after a complete response do not reach a later request", async t => {
    let responses = 0;
    const { port, target } = await open(t, socket => {
        responses += 1;
        const extra = responses === 1 ? "HTTP/1.1 200 OK\r\nid: request-2\r\ncontent-length: 5\r\n\r\nwrong" : "";
        const id = `request-${responses}`;
        socket.write(`HTTP/1.1 200 OK\r\nid: ${id}\r\ncontent-length: 5\r\n\r\nright${extra}`);
    });
    t.is(await readBody(await port.send(createCall(target))), "right");
    await sleep(20);
    const second = await port.send(createCall(target, { req: createRequest({ id: "request-2" }) }));
    t.is(await readBody(second), "right");
});

test("a request that may run only once does not use a connection that was idle for long", async t => {
    const used: Socket[] = [];
    const { port, target } = await open(t, socket => {
        used.push(socket);
        socket.write(`${HEAD}keep-alive: timeout=10\r\ncontent-length: 2\r\n\r\nok`);
    });
    for (const isRepeatable of [true, false]) {
        await readBody(await port.send(createCall(target, { isRepeatable })));
        await sleep(1_700);
        await readBody(await port.send(createCall(target, { isRepeatable })));
    }
    t.is(used[0], used[1]);
    t.not(used[2], used[3]);
});

test("a refused connection means that the request was not sent", async t => {
    const { port, target, server } = await open(t, () => undefined);
    server.close();
    t.is((await port.send(createCall(target))).kind, "not_sent");
});

test("a request is not sent to a target that leaves while the connection is opened", async t => {
    const { port, target, seen } = await open(t, socket => socket.end(`${HEAD}content-length: 2\r\n\r\nok`));
    const state = new TargetState(target);
    const sending = port.send(createCall(target, { mayStart: () => !state.target.leaving }));
    state.markLeaving();
    t.is((await sending).kind, "not_sent");
    await sleep(50);
    t.deepEqual(seen, []);
});

test("a target's report that it did not run the request is returned", async t => {
    const { port, target } = await open(t, socket => {
        socket.write("HTTP/1.1 503 Full\r\nid: request-1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n");
    });
    t.deepEqual(await port.send(createCall(target)), { kind: "not_run", reason: "full" });
});

test("an aborted call closes its connection", async t => {
    const closed = new Promise<void>(resolve => {
        void open(t, socket => socket.once("close", () => resolve())).then(async ({ port, target }) => {
            const leaving = new AbortController();
            const sending = port.send(createCall(target, { signal: leaving.signal }));
            setTimeout(() => leaving.abort(), 50);
            t.is((await sending).kind, "failed");
        });
    });
    await closed;
});

test("a send to a target whose address cannot be used ends as not sent", async t => {
    const { port, target } = await open(t, socket => socket.end());
    for (const change of [{ port: 70_000 }, { port: 0 }, { host: "999.1.1.1" }, { host: "" }]) {
        t.is((await port.send(createCall({ ...target, ...change }))).kind, "not_sent");
    }
});

test("an idle connection is told for the requests that may use it, and not while it is in use", async t => {
    const { port, target } = await open(t, socket => socket.write(`${HEAD}Content-Length: 5\r\n\r\nwhole`));
    t.false(port.hasIdleConnection(target, true));
    const outcome = await port.send(createCall(target));
    await readBody(outcome);
    await sleep(20);
    t.true(port.hasIdleConnection(target, true));
    t.false(port.hasIdleConnection(target, false));
    const sending = port.send(createCall(target));
    t.false(port.hasIdleConnection(target, true));
    await readBody(await sending);
});
