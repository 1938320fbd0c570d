import { hasResult } from "@ospreyreel/errors";
import test from "ava";
import { HeldBodies } from "./held-bodies.js";

test("bodies beyond the total limit are rejected, and accepted again after a release", t => {
    const bodies = new HeldBodies(10);
    const [first, second] = [bodies.open(), bodies.open()];
    first.acquire(4);
    second.acquire(6);
    t.true(hasResult(t.throws(() => first.acquire(1)), "overloaded"));
    t.is(bodies.bytes, 10);
    second.release();
    second.release();
    t.is(bodies.bytes, 4);
    first.acquire(6);
    first.release();
    t.is(bodies.bytes, 0);
});
