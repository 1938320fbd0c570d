import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { CallerGuard, type CallerGuardOptions, type ClosedConnection } from "./caller-guard.js";

const HOST = "127.0.0.1";
const OTHERS: Omit<CallerGuardOptions, "maxConnections"> = {
    maxReadingBytes: 1_000_000,
    progressTimeoutMs: 60_000,
    getMaxHeadBytes: () => 10_000,
    rejectHead: socket => socket.destroy(),
};

/** Time from which a connection without a request is closed first, with a margin, in milliseconds. */
const UNUSED_MS = 1_300;

/** More than the buffers of both kernels take. */
const LARGE = Buffer.alloc(32 * 1_024 * 1_024, "x");

/** A guard of real connections; `accept` opens one and resolves with both of its ends. */
const start = async (
    t: ExecutionContext,
    limits: Partial<CallerGuardOptions> & { readonly maxConnections: number; },
) => {
    const closed: ClosedConnection[] = [];
    const guard = new CallerGuard({ ...OTHERS, onClose: it => closed.push(it), ...limits });
    const server = createServer();
    server.listen(0, HOST);
    await once(server, "listening");
    const sockets: Socket[] = [];
    t.teardown(() => {
        guard.stop();
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    const accept = async (): Promise<{ readonly caller: Socket; readonly socket: Socket; }> => {
        const accepted = once(server, "connection") as Promise<[Socket]>;
        const caller = connect((server.address() as AddressInfo).port, HOST).on("error", () => undefined);
        const [socket] = await accepted;
        socket.on("error", () => undefined);
        sockets.push(caller, socket);
        return { caller, socket };
    };
    const admit = async (): Promise<Socket> => {
        const { socket } = await accept();
        guard.admit(socket);
        return socket;
    };
    const admitIdle = async (): Promise<Socket> => {
        const socket = await admit();
        guard.countExchange(socket, 1);
        guard.countExchange(socket, -1);
        return socket;
    };
    return { guard, closed, accept, admit, admitIdle };
};

// Guards against requests that are lost since their connections are closed before they can be read, while others idle.
test("an idle connection is closed before one that was just opened", async t => {
    const { closed, admit, admitIdle } = await start(t, { maxConnections: 2 });
    const opened = await admit();
    const idle = await admitIdle();
    const added = await admit();
    t.deepEqual([opened, idle, added].map(({ destroyed }) => destroyed), [false, true, false]);
    t.deepEqual(closed.map(({ stage }) => stage), ["idle"]);
});

test("a connection that has brought nothing for a second is closed before an idle one", async t => {
    const { closed, admit, admitIdle } = await start(t, { maxConnections: 2 });
    const opened = await admit();
    await sleep(UNUSED_MS);
    const idle = await admitIdle();
    const added = await admit();
    t.deepEqual([opened, idle, added].map(({ destroyed }) => destroyed), [true, false, false]);
    t.like(closed, [{ stage: "unused", bytesRead: 0 }]);
});

// Guards against requests that were read whole and get no answer, since their connections still wait to be handed off.
test("a connection that is not served yet is not closed once bytes of it were read", async t => {
    const { guard, closed, accept, admit } = await start(t, { maxConnections: 1 });
    const { caller, socket } = await accept();
    guard.admit(socket);
    caller.write("GET / HTTP/1.1");
    await once(socket, "readable");
    await sleep(UNUSED_MS);
    const added = await admit();
    t.deepEqual([socket, added].map(({ destroyed }) => destroyed), [false, true]);
    t.deepEqual(closed.map(({ stage }) => stage), ["new"]);
});

// Guards against responses that are cut since they count as sent once they are written.
test("a connection whose caller has not read its response is not closed for another one", async t => {
    const { guard, closed, accept, admit } = await start(t, { maxConnections: 1 });
    const { caller, socket } = await accept();
    caller.pause();
    guard.admit(socket);
    guard.countExchange(socket, 1);
    socket.write(LARGE);
    guard.countExchange(socket, -1);
    const refused = await admit();
    t.true(refused.destroyed);
    t.false(socket.destroyed);
    t.deepEqual(closed.map(({ stage }) => stage), ["new"]);
    caller.resume();
    await once(socket, "drain");
    const added = await admit();
    t.deepEqual([socket, added].map(({ destroyed }) => destroyed), [true, false]);
});

test("a caller that reads nothing of its response for too long makes room", async t => {
    const { guard, accept, admit } = await start(t, { maxConnections: 1, progressTimeoutMs: 200 });
    const { caller, socket } = await accept();
    caller.pause();
    guard.admit(socket);
    guard.countExchange(socket, 1);
    socket.write(LARGE);
    guard.countExchange(socket, -1);
    await sleep(300);
    const added = await admit();
    t.deepEqual([socket, added].map(({ destroyed }) => destroyed), [true, false]);
});

// Guards against callers that get no answer from an instance that serves as many as it can.
test("a connection beyond those that are served is open, and its requests are to be refused until there is room", async t => {
    const { guard, closed, admit } = await start(t, { maxConnections: 3, maxServedConnections: 2 });
    const busy = [await admit(), await admit()];
    busy.forEach(socket => guard.countExchange(socket, 1));
    t.true(guard.isCrowded);
    const beyond = await admit();
    t.false(beyond.destroyed);
    t.true(guard.isBeyondServed(beyond));
    t.deepEqual(busy.map(socket => guard.isBeyondServed(socket)), [false, false]);
    t.deepEqual(closed, []);
    busy[0]?.destroy();
    await once(busy[0] as Socket, "close");
    t.false(guard.isBeyondServed(beyond));
});

test("where even those to be refused are too many, the oldest one without a request is closed", async t => {
    const { guard, closed, admit } = await start(t, { maxConnections: 3, maxServedConnections: 2 });
    const busy = [await admit(), await admit()];
    busy.forEach(socket => guard.countExchange(socket, 1));
    const first = await admit();
    const second = await admit();
    t.deepEqual([...busy, first, second].map(({ destroyed }) => destroyed), [false, false, true, false]);
    t.deepEqual(closed.map(({ stage }) => stage), ["unused"]);
});
