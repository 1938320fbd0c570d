import test from "ava";
import { readFile } from "node:fs/promises";
import { createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformFleet, type PlatformInstance } from "./platform-fleet.js";

/** Memory of the smallest instance of the users' sites, in KiB. */
const MAX_MEMORY_KIB = 250 * 1_000 * 1_000 / 1_024;

/** Concurrent requests, far more than the faulty target would need to fill the memory with whole responses. */
const REQUESTS = 60;

/** Requests to sound targets meanwhile, one after the other. */
const SOUND_REQUESTS = 20;

/** Time in which instances know a changed entry, in milliseconds. */
const SETTLE_MS = 500;

const BLOCK_BYTES = 16_384;

/** Writes bytes that are no answer, from the request's id. */
type EndlessResponse = (socket: Socket, id: string) => Promise<void>;

const writeBlocks = async (socket: Socket, head: string, repeated: string): Promise<void> => {
    const block = repeated.repeat(Math.ceil(BLOCK_BYTES / repeated.length));
    socket.write(head);
    while (!socket.destroyed) {
        if (!socket.write(block, "latin1")) {
            await new Promise(resolve => socket.once("drain", resolve).once("close", resolve));
        }
    }
};

/** Writes in packets of a few bytes, each of which arrives alone. */
const writePackets = async (socket: Socket, head: string, packet: string): Promise<void> => {
    socket.setNoDelay(true).write(head);
    while (!socket.destroyed) {
        for (let i = 0; i < 20; i++) {
            socket.write(packet, "latin1");
            await new Promise(resolve => setImmediate(resolve));
        }
    }
};

const createHead = (id: string): string =>
    `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nInstance-Id: plain-1\r\nResponse-Seal: seal-plain-1\r\n`;

const createChunkedHead = (id: string): string => `${createHead(id)}Transfer-Encoding: chunked\r\n\r\n`;

interface EndlessCase {
    readonly name: string;
    readonly respond: EndlessResponse;
}

const CASES: readonly EndlessCase[] = [
    { name: "a head", respond: (socket, id) => writeBlocks(socket, `${createHead(id)}x: `, "x") },
    { name: "a row of bytes that are not HTTP", respond: socket => writeBlocks(socket, "", "\x00garbage") },
    { name: "a chunked body", respond: (socket, id) => writeBlocks(socket, createChunkedHead(id), "1\r\nx\r\n") },
    { name: "an unframed body", respond: (socket, id) => writeBlocks(socket, `${createHead(id)}\r\n`, "x") },
    {
        name: "a body in small packets",
        respond: (socket, id) => writePackets(socket, createChunkedHead(id), "1\r\nx\r\n"),
    },
];

const startEndlessTarget = async (respond: EndlessResponse) => {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined).once("close", () => sockets.delete(socket));
        socket.on("data", chunk => {
            const id = /attempt-id: (.*)\r/i.exec(chunk.toString("latin1"))?.[1];
            if (id !== undefined) {
                void respond(socket, id);
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    return {
        address: { host: "127.0.0.1", port: typeof address === "object" ? address?.port ?? 0 : 0 },
        close: () => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
};

const readPeakMemoryKib = async ({ process }: PlatformInstance): Promise<number> => {
    const status = await readFile(`/proc/${process.pid}/status`, "utf8");
    return Number(/^VmHWM:\s+(\d+)/m.exec(status)?.[1]);
};

// Guards against an instance that holds all that a faulty target sends, or does nothing but read it.
for (const { name, respond } of CASES) {
    test.serial(`${name} without end takes neither memory nor time from the other requests of an instance`, async t => {
        const fleet = await PlatformFleet.start({ count: 1 });
        t.teardown(() => fleet.close());
        const [instance] = fleet.instances;
        if (instance === undefined || fleet.plain === undefined) {
            return t.fail();
        }
        const endless = await startEndlessTarget(respond);
        t.teardown(() => endless.close());
        fleet.store.put(...fleet.plain.getEntry("ready", endless.address));
        await sleep(SETTLE_MS);
        const calls = [...Array(REQUESTS).keys()].map(at =>
            fleet.call(instance, `/${at % 2 === 0 ? "plain" : "once"}/${at}`)
        );
        const sound = [];
        for (let at = 0; at < SOUND_REQUESTS; at++) {
            sound.push((await fleet.ask(instance, 10)).status);
        }
        const answers = await Promise.all(calls);
        const peakKib = await readPeakMemoryKib(instance);
        t.deepEqual(sound, sound.map(() => 200));
        t.true(peakKib < MAX_MEMORY_KIB, `${peakKib} KiB`);
        t.true(answers.every(({ status }) => status >= 500), answers.map(({ status }) => status).join());
        t.is((await fleet.ask(instance, 10)).status, 200);
    });
}
