import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { type HandoffPairOptions, startHandoffPair } from "../fixtures/handoff-pair.js";
import { createRawRequest, openCaller, readUntilEnd } from "../fixtures/relay-path.js";
import { createTicket } from "./handoff-preamble.js";

const HOST = "127.0.0.1";

/** Time for which a helper counts as lost, in milliseconds. */
const LOST_MS = 200;

/** Waits for a condition, as long as a busy machine may need. */
const until = async (t: ExecutionContext, isMet: () => boolean): Promise<void> => {
    const endsAtMs = performance.now() + 10_000;
    while (!isMet() && performance.now() < endsAtMs) {
        await sleep(10);
    }
    t.true(isMet());
};

/** Starts a pair; resolves once the small instance hands connections off. */
const start = async (t: ExecutionContext, opts: HandoffPairOptions = {}) => {
    const pair = await startHandoffPair(opts);
    t.teardown(() => pair.close());
    await pair.start();
    await until(t, () => pair.handoff.isActive);
    const { hubs, network } = pair;
    return {
        ...pair,
        /** Has both instances take each other for lost, as in a cut between them. */
        cut: (): void => {
            network.disconnect(hubs.large);
            hubs.small.sendChange({ kind: "lost", info: hubs.large.self() });
            hubs.large.sendChange({ kind: "lost", info: hubs.small.self() });
        },
    };
};

/** Reads a connection until a text has arrived; fails once it ends before. */
const readUntil = async (socket: Socket, text: string): Promise<string> => {
    let read = "";
    socket.on("error", () => undefined);
    while (!read.includes(text)) {
        const ended = socket.destroyed ? [] : once(socket, "close");
        const [chunk] = await Promise.race([ended, once(socket, "data")]) as [unknown];
        if (!Buffer.isBuffer(chunk)) {
            throw new Error(`the connection ended after ${JSON.stringify(read)}`);
        }
        read += chunk.toString("latin1");
    }
    return read;
};

// Guards against kept connections that an instance without a fault resets while a target runs their requests.
test("an answer that has begun goes on through a helper that counts as lost for a while", async t => {
    let finish: () => void = () => undefined;
    const { ports, cut } = await start(t, {
        serve: async (_req, caller) => {
            caller.startStream({ status: 200, headers: [], isFramed: true });
            await caller.sendEvents(Buffer.from("id: 1\n\n"), new AbortController().signal);
            await new Promise<void>(resolve => {
                finish = resolve;
            });
            await caller.sendEvents(Buffer.from("id: 2\n\n"), new AbortController().signal);
            caller.endStream();
        },
    });
    const caller = await openCaller(ports.small.listenPort, createRawRequest("a"));
    await readUntil(caller, "id: 1");
    cut();
    await sleep(LOST_MS);
    finish();
    t.regex(await readUntil(caller, "\r\n0\r\n\r\n"), /id: 2/);
    caller.destroy();
});

// Guards against idle connections that are closed while their caller sends the next request.
test("a connection without a request is served here once its helper is lost", async t => {
    const { ports, handoff, cut } = await start(t);
    const caller = await openCaller(ports.small.listenPort, createRawRequest("a"));
    t.regex(await readUntil(caller, "\r\n\r\na"), /served-by: large/);
    cut();
    caller.write(createRawRequest("b"));
    t.regex(await readUntil(caller, "\r\n\r\nb"), /served-by: small/);
    await until(t, () => handoff.openConnections === 0);
    caller.destroy();
});

// Guards against requests whose callers learn nothing when the process that served them was killed.
test("a request is answered though its helper's process ends before the answer begins", async t => {
    const pair = await startHandoffPair();
    const { hubs, network } = pair;
    const raw = createServer(socket => {
        socket.on("error", () => undefined).once("data", () => {
            network.disconnect(hubs.large);
            socket.destroy();
        });
    }).listen(0, HOST);
    await once(raw, "listening");
    t.teardown(async () => {
        raw.close();
        await pair.close();
    });
    hubs.large.handle("connections.take", () =>
        Promise.resolve({
            kind: "accepted",
            address: { host: HOST, port: (raw.address() as AddressInfo).port },
            ticket: createTicket(),
            version: 1,
            requests: 0,
        }));
    pair.handoff.start();
    await until(t, () => pair.handoff.isActive);
    const caller = await openCaller(pair.ports.small.listenPort, createRawRequest("a", "Connection: close\r\n"));
    t.regex((await readUntilEnd(caller)).text, /^HTTP\/1\.1 /);
});
