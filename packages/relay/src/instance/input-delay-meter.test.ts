import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect, createServer as createTcpServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { InputDelayMeter } from "./input-delay-meter.js";

/** Delay that counts as too long, in milliseconds; half of the shortest latency objective. */
const TOO_LONG_MS = 100;

/** Timeout for an expected sample, in milliseconds; the machine may be busy with other tests. */
const SAMPLE_TIMEOUT_MS = 10_000;

/** Waits for a new sample that matches; returns false if none came. */
const awaitSample = async (samples: readonly number[], isExpected: (delayMs: number) => boolean): Promise<boolean> => {
    const from = samples.length;
    const endsAtMs = performance.now() + SAMPLE_TIMEOUT_MS;
    while (!samples.slice(from).some(isExpected) && performance.now() < endsAtMs) {
        await sleep(20);
    }
    return samples.slice(from).some(isExpected);
};

const isTooLong = (delayMs: number): boolean => delayMs > TOO_LONG_MS;
const isAcceptable = (delayMs: number): boolean => delayMs < TOO_LONG_MS;

/** Blocks the event loop. */
const block = (ms: number): void => {
    const endsAtMs = performance.now() + ms;
    while (performance.now() < endsAtMs) {
        // Busy wait, so that nothing else runs.
    }
};

/** A callers' port; each response takes `workMs` of processor time. */
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

test.serial("the delay is high during a burst of connections that wait to be accepted, and low after it", async t => {
    const port = await open(t, 5);
    const samples: number[] = [];
    new InputDelayMeter({ ...port, warmUpMs: 0 }).start(delayMs => samples.push(delayMs));
    const callers = Array.from({ length: 200 }, () => connect(port).on("error", () => undefined));
    callers.forEach(caller => caller.write("GET / HTTP/1.1\r\nHost: caller\r\n\r\n"));
    t.true(await awaitSample(samples, isTooLong), samples.join());
    callers.forEach(caller => caller.destroy());
    t.true(await awaitSample(samples, isAcceptable), samples.join());
});

test.serial("a probe without a response times out, and later probes measure the delay", async t => {
    const port = await open(t, 0);
    const samples: number[] = [];
    const silent = createTcpServer(() => undefined).listen(0, port.host);
    await once(silent, "listening");
    const proxied = { host: port.host, port: (silent.address() as AddressInfo).port };
    new InputDelayMeter({ ...proxied, warmUpMs: 0 }).start(delayMs => samples.push(delayMs));
    t.true(await awaitSample(samples, isTooLong), samples.join());
    // New connections get a response from here on; the pending one does not.
    silent.on("connection", socket => socket.once("data", () => socket.end("HTTP/1.1 400 Bad Request\r\n\r\n")));
    t.true(await awaitSample(samples, isAcceptable), samples.join());
    silent.close();
});

test.serial("processor use alone is not measured as delay", async t => {
    const port = await open(t, 0);
    const samples: number[] = [];
    new InputDelayMeter({ ...port, warmUpMs: 0 }).start(delayMs => samples.push(delayMs));
    const inTime = awaitSample(samples, isAcceptable);
    const endsAtMs = performance.now() + 1_500;
    while (performance.now() < endsAtMs) {
        block(1);
        await new Promise(resolve => setImmediate(resolve));
    }
    t.true(await inTime, samples.join());
    t.true(samples.filter(isAcceptable).length > samples.length / 2, samples.join());
});

test.serial("nothing is reported during the warm-up", async t => {
    const samples: number[] = [];
    new InputDelayMeter(await open(t, 0)).start(delayMs => samples.push(delayMs));
    await sleep(500);
    t.deepEqual(samples, []);
});
