import { Counters } from "@ospreyreel/telemetry";
import test from "ava";
import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { CallerServer } from "./caller-server.js";

const LIMITS = {
    maxBodyBytes: 1_024,
    maxHeldBytes: 1_024,
    maxHeaderBytes: 1_024,
    bodyTimeoutMs: 1_000,
    stallTimeoutMs: 10_000,
};

const RESPONSE = Buffer.alloc(24 * 1_024 * 1_024, "y");

test("a slow caller gets its whole response though the server is closed meanwhile", async t => {
    const server = new CallerServer({
        address: { host: "127.0.0.1", port: 0 },
        limits: LIMITS,
        counters: new Counters(),
        handler: ({ res }) => {
            res.end(RESPONSE);
            return Promise.resolve();
        },
    });
    const { host, port } = await server.start();
    const socket = connect(port, host).on("error", () => undefined);
    let bytes = 0;
    socket.on("data", (chunk: Buffer) => bytes += chunk.length);
    socket.write("GET /x HTTP/1.1\r\nHost: users.example\r\n\r\n");
    await once(socket, "data");
    socket.pause();
    const closed = server.close();
    await sleep(100);
    const ended = once(socket, "close");
    socket.resume();
    await Promise.all([ended, closed]);
    t.true(bytes > RESPONSE.length, String(bytes));
});
