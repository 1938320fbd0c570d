import test from "ava";
import { divideMaxMin } from "./max-min-shares.js";

test("small demands are met in full, and the rest is divided equally", t => {
    const shares = divideMaxMin(new Map([["large", 70], ["small", 5], ["medium", 30]]), 45);
    t.deepEqual(Object.fromEntries(shares), { small: 5, medium: 20, large: 20 });
});

test("what all ask for is not exceeded", t => {
    t.deepEqual(Object.fromEntries(divideMaxMin(new Map([["a", 1], ["b", 2]]), 10)), { a: 1, b: 2 });
});
