import test from "ava";
import { getRetryAfterS } from "./retry-after.js";

test("callers come back spread over the time in which those ahead are served", t => {
    const numbers = { ahead: 9, servedPerS: 5, leftMs: 60_000 };
    t.is(getRetryAfterS(numbers, 0), 0.1);
    t.is(getRetryAfterS(numbers, 0.5), 1.05);
});

test("a caller comes back within a third of its time, and not before 0.1 s", t => {
    t.is(getRetryAfterS({ ahead: 1_000, servedPerS: 1, leftMs: 3_000 }, 0.999_999).toFixed(2), "1.00");
    t.is(getRetryAfterS({ ahead: 1_000, servedPerS: 1, leftMs: 30 }, 0.9), 0.1);
    t.is(getRetryAfterS({ ahead: 0, servedPerS: 1_000, leftMs: 3_000 }, 0.9), 0.1);
});
