import test from "ava";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { connect } from "./connect.js";

const HOST = "127.0.0.1";
const TIMEOUT_MS = 50;

// Guards against connections of a busy instance that are abandoned though they were opened in time.
test("a connection that was opened while the event loop was busy is not late", async t => {
    const server = createServer(socket => void socket.on("error", () => undefined)).listen(0, HOST);
    t.teardown(() => server.close());
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const opening = connect({ host: HOST, port }, TIMEOUT_MS, new AbortController().signal);
    const busyUntilMs = performance.now() + 4 * TIMEOUT_MS;
    while (performance.now() < busyUntilMs) {
        // The system opens the connection meanwhile.
    }
    const socket = await opening;
    t.false(socket.destroyed);
    socket.destroy();
});

test("a connection is given up at once when it is aborted", async t => {
    const stopping = new AbortController();
    const opening = connect({ host: HOST, port: 1 }, 60_000, stopping.signal);
    stopping.abort();
    await t.throwsAsync(opening, { name: "AbortError" });
});
