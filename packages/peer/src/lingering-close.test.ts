import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, createServer as createTcpServer, type Socket } from "node:net";
import { text } from "node:stream/consumers";
import { setTimeout as sleep } from "node:timers/promises";
import { closeWithLinger, lingerOnClose } from "./lingering-close.js";

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

// Guards against responses that lose their end where a caller reads them slower than the connection is closed.
test("what is still to be sent arrives whole, however long the other side takes to read it", async t => {
    const sent = Buffer.alloc(24 * 1_024 * 1_024, "x");
    const server = createTcpServer(socket => {
        socket.write(sent);
        closeWithLinger(socket, LATE_WRITE_MS);
    }).listen(0, HOST);
    await once(server, "listening");
    t.teardown(() => server.close());
    const client = connect({ host: HOST, port: (server.address() as AddressInfo).port });
    await once(client, "connect");
    client.pause();
    await sleep(10 * LATE_WRITE_MS);
    t.is((await text(client)).length, sent.length);
});

test("the connection of a client that does not read is closed after a longer time", async t => {
    const closed: Socket[] = [];
    const server = createTcpServer(socket => {
        socket.write(Buffer.alloc(24 * 1_024 * 1_024, "x"));
        closeWithLinger(socket, LATE_WRITE_MS, 4 * LATE_WRITE_MS);
        socket.once("close", () => closed.push(socket));
    }).listen(0, HOST);
    await once(server, "listening");
    t.teardown(() => server.close());
    const client = connect({ host: HOST, port: (server.address() as AddressInfo).port });
    t.teardown(() => client.destroy());
    client.on("error", () => undefined).pause();
    const endsAtMs = performance.now() + 10_000;
    while (closed.length === 0 && performance.now() < endsAtMs) {
        await sleep(LATE_WRITE_MS);
    }
    t.is(closed.length, 1);
});
