import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { text } from "node:stream/consumers";
import { setTimeout as sleep } from "node:timers/promises";
import { lingerOnClose } from "./lingering-close.js";

const HOST = "127.0.0.1";
const LATE_WRITE_MS = 50;
const LINGER_MS = 500;

/** A server that responds to each request at once and closes the connection. */
const startServer = async (t: ExecutionContext): Promise<Server> => {
    const server = createServer((_req, res) => res.writeHead(413, { connection: "close" }).end("refused"));
    lingerOnClose(server, LINGER_MS);
    server.listen(0, HOST);
    await once(server, "listening");
    t.teardown(() => {
        server.close();
        server.closeAllConnections();
    });
    return server;
};

const open = async (server: Server, allowHalfOpen = false): Promise<Socket> => {
    const socket = connect({ host: HOST, port: (server.address() as AddressInfo).port, allowHalfOpen });
    await once(socket, "connect");
    return socket;
};

const BODY_BYTES = 1_000;
const HEAD = `POST / HTTP/1.1\r\nhost: server\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`;

test("a client that is still sending reads the response", async t => {
    const client = await open(await startServer(t));
    client.write(HEAD);
    for (let writes = 0; writes < 3; writes++) {
        await sleep(LATE_WRITE_MS);
        client.write("x");
    }
    t.regex(await text(client), /^HTTP\/1\.1 413 [^]*refused/);
});

test("the connection is closed as soon as the client closes its direction", async t => {
    const server = await startServer(t);
    const accepted = once(server, "connection") as Promise<[Socket]>;
    const client = await open(server);
    const [socket] = await accepted;
    client.end(HEAD + "x".repeat(BODY_BYTES));
    const startedAtMs = performance.now();
    await once(socket, "close");
    t.true(performance.now() - startedAtMs < LINGER_MS);
});

test("the connection of a client that never closes is closed after a time", async t => {
    const server = await startServer(t);
    const accepted = once(server, "connection") as Promise<[Socket]>;
    const client = await open(server, true);
    t.teardown(() => client.destroy());
    const [socket] = await accepted;
    client.write(HEAD);
    await once(socket, "close");
    t.true(socket.destroyed);
});
