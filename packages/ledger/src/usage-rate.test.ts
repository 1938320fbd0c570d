import test from "ava";
import { UsageRate } from "./usage-rate.js";

const getRateAfter = (seconds: number): number => {
    const rate = new UsageRate();
    for (let ms = 0; ms <= seconds * 1_000; ms += 10) {
        rate.add(1, ms);
    }
    return rate.getRate(seconds * 1_000);
};

test("a steady rate is measured alike soon after its start and long after it", t => {
    for (const seconds of [3, 20, 200]) {
        const rate = getRateAfter(seconds);
        t.true(rate > 95 && rate < 105, `${rate} after ${seconds} s`);
    }
});
