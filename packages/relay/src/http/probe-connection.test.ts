import test from "ava";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import { pauseProcess } from "../fixtures/pause-process.js";
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
    pauseProcess(2 * TIMEOUT_MS);
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
