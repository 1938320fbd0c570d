import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { ProcessMeter } from "./process-meter.js";

const BLOCK_MS = 120;

const block = (): void => {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, BLOCK_MS);
};

test("a blocked event loop shows in the ended period, and memory is that of the process", async t => {
    const meter = new ProcessMeter();
    t.teardown(() => meter.close());
    await sleep(50);
    block();
    await sleep(50);
    t.is(meter.read().eventLoopDelayMs.max, 0);
    meter.endPeriod();
    const figures = meter.read();
    t.true(figures.eventLoopDelayMs.max > BLOCK_MS / 2);
    t.true(figures.rssBytes > figures.heapUsedBytes);
    t.is(figures.pid, process.pid);
});
