import test from "ava";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { OperatorServer } from "./operator-server.js";

const HOST = "127.0.0.1";
const BODY_BYTES = 9 * 1_048_576;
const LATE_WRITE_MS = 50;

test("an operator that is still sending a body that is too large reads the refusal", async t => {
    const server = new OperatorServer({
        address: { host: HOST, port: 0 },
        api: () => Promise.resolve({ status: 200, body: {} }),
        files: new Map(),
    });
    const { port } = await server.start();
    t.teardown(() => server.close());
    const chunks: Buffer[] = [];
    const socket = connect(port, HOST).on("data", chunk => chunks.push(chunk)).on("error", () => undefined);
    const closed = new Promise(resolve => socket.once("close", resolve));
    socket.pause();
    socket.write(`POST /v1/document HTTP/1.1\r\nHost: operator\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`);
    for (let writes = 0; writes < 3; writes++) {
        await sleep(LATE_WRITE_MS);
        socket.write("x");
    }
    socket.resume();
    await closed;
    t.regex(Buffer.concat(chunks).toString(), /^HTTP\/1\.1 413 /);
});
