import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { KnownEnds } from "../fixtures/known-ends.js";
import { createCall, PlainTargetProtocol } from "../fixtures/plain-protocol.js";
import { createRawTarget } from "../fixtures/raw-target.js";
import { HttpTargetPort } from "./http-target-port.js";

/** Size of a body whose last bytes pause its connection. */
const BODY_BYTES = 65_536;
const PART_MS = 50;

// Guards against an unexpected error that ends the process: the client fails where a connection ends while it is paused.
test("an unframed response whose connection ends while it is not read is complete", async t => {
    const { target, server } = await createRawTarget(socket => {
        socket.write("HTTP/1.1 200 OK\r\nid: request-1\r\n\r\n");
        setTimeout(() => socket.write("x".repeat(BODY_BYTES)), PART_MS);
        setTimeout(() => socket.end(), 2 * PART_MS);
    });
    const port = new HttpTargetPort(new PlainTargetProtocol(), new KnownEnds());
    t.teardown(async () => {
        await port.close();
        server.close();
    });
    const outcome = await port.send(createCall(target));
    if (outcome.kind !== "answer") {
        throw new Error(`not answered: ${outcome.kind}`);
    }
    await sleep(6 * PART_MS);
    let bytes = 0;
    for await (const chunk of outcome.body) {
        bytes += chunk.length;
    }
    t.is(bytes, BODY_BYTES);
});
