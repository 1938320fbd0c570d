import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect, createServer as createTcpServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { InputDelayMeter } from "./input-delay-meter.js";

/** Objective of the users' shortest requests, in milliseconds; half of it is too long a wait. */
const TOO_LONG_MS = 100;

/** Longest wait for a look that must come, in milliseconds; the machine may be busy with other tests. */
const LOOK_WITHIN_MS = 10_000;

/** Waits for a look from now on that the test is about; false where none came. */
const awaitLook = async (looks: readonly number[], isDue: (delayMs: number) => boolean): Promise<boolean> => {
    const from = looks.length;
    const endsAtMs = performance.now() + LOOK_WITHIN_MS;
    while (!looks.slice(from).some(isDue) && performance.now() < endsAtMs) {
        await sleep(20);
    }
    return looks.slice(from).some(isDue);
};

const isTooLong = (delayMs: number): boolean => delayMs > TOO_LONG_MS;
const isInTime = (delayMs: number): boolean => delayMs < TOO_LONG_MS;

/** Keeps the process from its input. */
const block = (ms: number): void => {
    const endsAtMs = performance.now() + ms;
    while (performance.now() < endsAtMs) {
        // Nothing else runs meanwhile.
    }
};

/** A callers' port, of which each answer takes some work. */
const open = async (t: ExecutionContext, workMs: number) => {
    const server = createServer((_req, res) => {
        block(workMs);
        res.writeHead(400, { "Connection": "close" }).end();
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => {
        server.close();
        server.closeAllConnections();
    });
    return { host: "127.0.0.1", port: (server.address() as AddressInfo).port };
};

test.serial("a burst of connections that wait to be accepted shows, and shows when it has ended", async t => {
    const port = await open(t, 5);
    const looks: number[] = [];
    new InputDelayMeter({ ...port, warmUpMs: 0 }).start(delayMs => looks.push(delayMs));
    const callers = Array.from({ length: 200 }, () => connect(port).on("error", () => undefined));
    callers.forEach(caller => caller.write("GET / HTTP/1.1\r\nHost: caller\r\n\r\n"));
    t.true(await awaitLook(looks, isTooLong), looks.join());
    callers.forEach(caller => caller.destroy());
    t.true(await awaitLook(looks, isInTime), looks.join());
});

test.serial("a connection that falls silent for good is given up, and later ones tell the wait", async t => {
    const port = await open(t, 0);
    const looks: number[] = [];
    const silent = createTcpServer(() => undefined).listen(0, port.host);
    await once(silent, "listening");
    const proxied = { host: port.host, port: (silent.address() as AddressInfo).port };
    new InputDelayMeter({ ...proxied, warmUpMs: 0 }).start(delayMs => looks.push(delayMs));
    t.true(await awaitLook(looks, isTooLong), looks.join());
    // From now on connections are answered; the one that waits is not.
    silent.on("connection", socket => socket.once("data", () => socket.end("HTTP/1.1 400 Bad Request\r\n\r\n")));
    t.true(await awaitLook(looks, isInTime), looks.join());
    silent.close();
});

test.serial("used processor time alone is no delay", async t => {
    const port = await open(t, 0);
    const looks: number[] = [];
    new InputDelayMeter({ ...port, warmUpMs: 0 }).start(delayMs => looks.push(delayMs));
    const inTime = awaitLook(looks, isInTime);
    const endsAtMs = performance.now() + 1_500;
    while (performance.now() < endsAtMs) {
        block(1);
        await new Promise(resolve => setImmediate(resolve));
    }
    t.true(await inTime, looks.join());
    t.true(looks.filter(isInTime).length > looks.length / 2, looks.join());
});

test.serial("what a start takes is not told", async t => {
    const looks: number[] = [];
    new InputDelayMeter(await open(t, 0)).start(delayMs => looks.push(delayMs));
    await sleep(500);
    t.deepEqual(looks, []);
});
