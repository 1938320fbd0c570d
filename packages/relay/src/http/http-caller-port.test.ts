import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { PlainCallerProtocol } from "../fixtures/plain-protocol.js";
import type { RelayRequest } from "../relay-request.js";
import { HttpCallerPort } from "./http-caller-port.js";

const HOST = "127.0.0.1";
const BODY = "x".repeat(20_000);

const createMessage = (id: string): string =>
    `POST /x HTTP/1.1\r\nHost: users.example\r\nid: ${id}\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`;

/** A port that answers each request at once and keeps whose callers had left by then. */
const open = async (t: ExecutionContext) => {
    const taken: Record<string, "there" | "left"> = {};
    const port = new HttpCallerPort({
        host: HOST,
        port: 0,
        protocol: new PlainCallerProtocol(),
        getBounds: () => undefined,
        serve: (req: RelayRequest, caller) => {
            taken[req.id] = caller.gone.aborted ? "left" : "there";
            caller.refuse({ reason: "noTarget", retryAfterS: 1 });
            return Promise.resolve();
        },
    });
    await port.start();
    t.teardown(() => port.close());
    return { taken, port: port.listenPort };
};

/** Sends a request as soon as the connection stands, and leaves in the same moment where it is to. */
const send = (port: number, id: string, leaves: boolean): Socket => {
    const socket = connect(port, HOST).on("error", () => undefined);
    socket.once("connect", () => leaves ? socket.end(createMessage(id)) : socket.write(createMessage(id)));
    return socket;
};

test("load pattern, callers that leave while their connections wait: they are known to have left", async t => {
    const { taken, port } = await open(t);
    ["a", "b", "c"].forEach(id => send(port, id, true));
    const stays = send(port, "d", false);
    await sleep(200);
    t.deepEqual(taken, { a: "left", b: "left", c: "left", d: "there" });
    stays.destroy();
});

test("a caller that waits is served, with its whole body", async t => {
    const { taken, port } = await open(t);
    const socket = send(port, "a", false);
    const [answer] = await once(socket, "data") as [Buffer];
    t.true(answer.toString().startsWith("HTTP/1.1 503"));
    t.deepEqual(taken, { a: "there" });
    socket.destroy();
});
