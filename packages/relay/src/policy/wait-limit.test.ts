import test from "ava";
import { getWaitLimitMs } from "./wait-limit.js";

test("a request waits for half of its remaining objective, then for a quarter of its remaining deadline", t => {
    t.is(getWaitLimitMs({ elapsedMs: 100, latencyTargetMs: 500, leftMs: 5_000 }, 2_000), 200);
    t.is(getWaitLimitMs({ elapsedMs: 600, latencyTargetMs: 500, leftMs: 4_000 }, 2_000), 1_000);
    t.is(getWaitLimitMs({ elapsedMs: 600, latencyTargetMs: 500, leftMs: 20_000 }, 2_000), 2_000);
    t.is(getWaitLimitMs({ elapsedMs: 0, latencyTargetMs: 500, leftMs: 0 }, 2_000), 0);
});
