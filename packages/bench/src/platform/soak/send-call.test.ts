import test from "ava";
import { once } from "node:events";
import { Agent } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { PlatformCall } from "./platform-call.js";
import { sendCall } from "./send-call.js";

const EVENT = "id: 1\ndata: a\n\n";

/** What a caller sees of a response that its server writes as it is and then ends. */
const receive = async (
    httpVersion: PlatformCall["httpVersion"],
    response: string,
    end: (socket: Socket) => void,
): Promise<string> => {
    const server = createServer(socket => socket.once("data", () => socket.write(response, () => end(socket))));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { address: host, port } = server.address() as AddressInfo;
    const agent = new Agent({ keepAlive: true });
    const call = await sendCall({
        kind: "model",
        id: "a",
        promptTokens: 1,
        paddingBytes: 0,
        instance: "instance-0",
        address: { host, port },
        wasAccepted: () => true,
        agent,
        stepMs: 1,
        bodyPauseMs: 0,
        readPauseMs: 0,
        leavesAfterMs: undefined,
        resumed: undefined,
        httpVersion,
    });
    agent.destroy();
    server.close();
    return call.end;
};

const close = (socket: Socket): void => void socket.end();
const reset = (socket: Socket): void => void socket.resetAndDestroy();
const resetLater = (socket: Socket): void => void sleep(50).then(() => socket.resetAndDestroy());

for (const httpVersion of ["1.1", "1.0"] as const) {
    test(`a response that ends with its connection is whole after an end and cut after a reset, HTTP/${httpVersion}`, async t => {
        const unframed = `HTTP/1.1 200 OK\r\n\r\n${EVENT}`;
        t.is(await receive(httpVersion, unframed, close), "answered");
        t.is(await receive(httpVersion, unframed, reset), "cut");
        t.is(await receive(httpVersion, unframed, resetLater), "cut");
    });

    test(`a response with a length is whole where the length is reached, HTTP/${httpVersion}`, async t => {
        const head = `HTTP/1.1 200 OK\r\ncontent-length: ${EVENT.length}\r\n\r\n`;
        t.is(await receive(httpVersion, head + EVENT, close), "answered");
        t.is(await receive(httpVersion, head + EVENT.slice(1), close), "cut");
        t.is(await receive(httpVersion, head + EVENT.slice(1), resetLater), "cut");
    });
}

test("a response in chunks is whole with its last chunk for HTTP/1.1, and never for HTTP/1.0", async t => {
    const head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    const chunk = `${EVENT.length.toString(16)}\r\n${EVENT}\r\n`;
    t.is(await receive("1.1", `${head}${chunk}0\r\n\r\n`, close), "answered");
    t.is(await receive("1.1", head + chunk, close), "cut");
    t.is(await receive("1.1", head + chunk, resetLater), "cut");
    t.is(await receive("1.0", `${head}${chunk}0\r\n\r\n`, close), "cut");
});
