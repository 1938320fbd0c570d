import { blockEventLoop } from "@ospreyreel/peer/fixtures";
import test from "ava";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { createTargetConnector } from "./target-connector.js";

const TIMEOUT_MS = 50;

const connectTo = (port: number): Promise<Socket> =>
    new Promise((resolve, reject) => {
        const opts = { hostname: "127.0.0.1", port: String(port), protocol: "http:" };
        createTargetConnector({ timeoutMs: TIMEOUT_MS })(opts, (err, socket) => {
            if (err === null) {
                resolve(socket);
            }
            else {
                reject(err);
            }
        });
    });

test("a connection that was opened in time is used though the event loop is late", async t => {
    const server = createServer();
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const connecting = connectTo((server.address() as AddressInfo).port);
    blockEventLoop(2 * TIMEOUT_MS);
    const socket = await connecting;
    t.false(socket.destroyed);
    socket.destroy();
    server.close();
});
