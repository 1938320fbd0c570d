import test from "ava";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { setImmediate as nextTurn, setTimeout as sleep } from "node:timers/promises";
import { pauseProcess } from "../fixtures/pause-process.js";
import { createTicket, readTicket } from "./handoff-preamble.js";

const HOST = "127.0.0.1";
const TIMEOUT_MS = 100;

// Guards against connections that a helper closes unread after a pause, though their tickets and requests have arrived.
test.serial("a ticket that arrives in a pause of the process is read", async t => {
    const server = createServer().listen(0, HOST);
    await once(server, "listening");
    t.teardown(() => server.close());
    const client = connect((server.address() as AddressInfo).port, HOST);
    t.teardown(() => client.destroy());
    const [socket] = await once(server, "connection") as [Socket];
    const ticket = createTicket();
    const reading = readTicket(socket, TIMEOUT_MS);
    await sleep(TIMEOUT_MS / 10);
    // Expired timers run first after this turn.
    await nextTurn();
    client.write(ticket);
    await new Promise<void>(resolve => process.nextTick(resolve));
    pauseProcess(2 * TIMEOUT_MS);
    t.deepEqual(await reading, ticket);
});
