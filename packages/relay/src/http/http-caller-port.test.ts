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

/** A port that responds to each request immediately and records whether the caller had disconnected by then. */
const open = async (t: ExecutionContext) => {
    const callerStates: Record<string, "there" | "left"> = {};
    const port = new HttpCallerPort({
        host: HOST,
        port: 0,
        protocol: new PlainCallerProtocol(),
        getBounds: () => undefined,
        serve: (req: RelayRequest, caller) => {
            callerStates[req.id] = caller.disconnectSignal.aborted ? "left" : "there";
            caller.refuse({ reason: "noTarget", retryAfterS: 1 });
            return Promise.resolve();
        },
    });
    await port.start();
    t.teardown(() => port.close());
    return { callerStates, port: port.listenPort };
};

/** Sends a request as soon as the connection is open; ends the connection with it if `leaves` is set. */
const send = (port: number, id: string, leaves: boolean): Socket => {
    const socket = connect(port, HOST).on("error", () => undefined);
    socket.once("connect", () => leaves ? socket.end(createMessage(id)) : socket.write(createMessage(id)));
    return socket;
};

test("load pattern, callers that disconnect while their connections wait: the disconnect is detected", async t => {
    const { callerStates, port } = await open(t);
    ["a", "b", "c"].forEach(id => send(port, id, true));
    const stays = send(port, "d", false);
    await sleep(200);
    t.deepEqual(callerStates, { a: "left", b: "left", c: "left", d: "there" });
    stays.destroy();
});

test("a connected caller is served with its complete body", async t => {
    const { callerStates, port } = await open(t);
    const socket = send(port, "a", false);
    const [response] = await once(socket, "data") as [Buffer];
    t.true(response.toString().startsWith("HTTP/1.1 503"));
    t.deepEqual(callerStates, { a: "there" });
    socket.destroy();
});
