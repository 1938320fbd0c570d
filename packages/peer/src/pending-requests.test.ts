import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { blockEventLoop } from "./fixtures/block-event-loop.js";
import { PendingRequests } from "./pending-requests.js";

const TIMEOUT_MS = 50;

/** Opens a connection within this process; returns both ends. */
const openConnection = async (t: ExecutionContext): Promise<readonly [Socket, Socket]> => {
    const server = createServer();
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const near = connect((server.address() as AddressInfo).port, "127.0.0.1");
    const [far] = await once(server, "connection") as [Socket];
    t.teardown(() => {
        near.destroy();
        server.close();
    });
    return [near, far];
};

test.serial("a reply that arrived in time is used though the event loop is late", async t => {
    const [near, far] = await openConnection(t);
    const pending = new PendingRequests();
    near.on("data", () => pending.resolve(1, "reply"));
    const reply = pending.add(() => undefined, TIMEOUT_MS);
    far.write("reply");
    blockEventLoop(2 * TIMEOUT_MS);
    t.is(await reply, "reply");
});

test("a request without a reply fails after its timeout", async t => {
    const pending = new PendingRequests();
    const startedAtMs = performance.now();
    await t.throwsAsync(pending.add(() => undefined, TIMEOUT_MS));
    t.true(performance.now() - startedAtMs < 20 * TIMEOUT_MS);
    t.is(pending.size, 0);
});
