import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { ProcessorMeter } from "./processor-meter.js";

test.serial("a busy stretch shows as used processor time, by the cores that may be used, and ends", async t => {
    const looks: number[] = [];
    const meter = new ProcessorMeter({ cores: 0.5, warmUpMs: 0 });
    meter.start(share => looks.push(share));
    const endsAtMs = performance.now() + 400;
    while (performance.now() < endsAtMs) {
        await new Promise(resolve => setImmediate(resolve));
    }
    t.true(Math.max(...looks) > 0.5, looks.join());
    await sleep(700);
    t.true(meter.usedShare < 0.5, looks.join());
});

test.serial("what a start takes is not told", async t => {
    const looks: number[] = [];
    new ProcessorMeter({ cores: 0.5 }).start(share => looks.push(share));
    const endsAtMs = performance.now() + 400;
    while (performance.now() < endsAtMs) {
        await new Promise(resolve => setImmediate(resolve));
    }
    t.deepEqual(looks, []);
});
