import type { SharedResponse } from "@ospreyreel/claims";
import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { writeResponse } from "./write-response.js";

/** Time in which a part of a response is sent, in milliseconds. */
const SENT_AFTER_MS = 100;

/** A response whose target names no length, with one part and then its end or an error. */
const createAnswer = (err?: Error): SharedResponse => ({
    readHead: () => Promise.resolve({ status: 200, headers: { "content-type": "text/plain" } }),
    readBody: async function*() {
        await Promise.resolve();
        yield Buffer.from("part");
        if (err !== undefined) {
            await sleep(SENT_AFTER_MS);
            throw err;
        }
    },
} as unknown as SharedResponse);

/** Asks for the response on a connection of its own; returns all that arrives. */
const ask = async (t: ExecutionContext, answer: SharedResponse): Promise<string> => {
    const server = createServer((_req, res) => void writeResponse(res, answer, "request-1")).listen(0, "127.0.0.1");
    t.teardown(() => server.close());
    await once(server, "listening");
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1").on("error", () => undefined);
    let text = "";
    socket.on("data", chunk => text += chunk.toString());
    socket.write("GET / HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n");
    await new Promise(resolve => socket.once("close", resolve));
    return text;
};

// Guards against a part of a response that looks whole, as the end of a connection does where the response has no other end.
test("a response without a length is written in chunks, of which the last is missing where it breaks off", async t => {
    const whole = await ask(t, createAnswer());
    t.regex(whole, /^transfer-encoding: chunked\r$/im);
    t.true(whole.endsWith("4\r\npart\r\n0\r\n\r\n"), whole);
    const cut = await ask(t, createAnswer(new Error("the target has gone")));
    t.regex(cut, /^transfer-encoding: chunked\r$/im);
    t.true(cut.includes("part"), cut);
    t.false(cut.includes("\r\n0\r\n"), cut);
});
