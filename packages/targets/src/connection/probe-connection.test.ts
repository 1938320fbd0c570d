import { blockEventLoop } from "@ospreyreel/peer/fixtures";
import test from "ava";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import { probeConnection } from "./probe-connection.js";

const HOST = "127.0.0.1";
const TIMEOUT_MS = 100;

// Guards against requests that are ended at sound targets, which count as not reached after a pause of this instance.
test.serial("a connection that opens in a pause of the process counts as open", async t => {
    const server = createServer().listen(0, HOST);
    await once(server, "listening");
    t.teardown(() => server.close());
    const { port } = server.address() as AddressInfo;
    // Expired timers run first after this turn.
    await nextTurn();
    const outcome = probeConnection({ host: HOST, port }, TIMEOUT_MS);
    await new Promise<void>(resolve => process.nextTick(resolve));
    blockEventLoop(2 * TIMEOUT_MS);
    t.is(await outcome, "open");
});

test("a refused connection is told from an open one", async t => {
    const server = createServer().listen(0, HOST);
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    t.is(await probeConnection({ host: HOST, port }, 10_000), "open");
    await new Promise(resolve => server.close(resolve));
    t.is(await probeConnection({ host: HOST, port }, 10_000), "refused");
});

test("a connection that ends while it is held is told from one that stays open", async t => {
    const held = createServer().listen(0, HOST);
    const resetting = createServer(socket => void socket.resetAndDestroy()).listen(0, HOST);
    const closing = createServer(socket => void socket.end()).listen(0, HOST);
    const servers = [held, resetting, closing];
    await Promise.all(servers.map(server => once(server, "listening")));
    t.teardown(() => servers.forEach(server => server.close()));
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    t.deepEqual(await Promise.all(ports.map(port => probeConnection({ host: HOST, port }, 10_000, 500))), [
        "open",
        "dropped",
        "dropped",
    ]);
});
