import test from "ava";
import fc from "fast-check";
import { ManualClock } from "../fixtures/manual-clock.js";
import { LoadRateLimiter } from "./load-rate-limiter.js";

test("loads never exceed the weight store's rate", t => {
    const anyStep = fc.record({ advanceMs: fc.nat(3000), loads: fc.nat(3) });
    fc.assert(fc.property(fc.array(anyStep, { maxLength: 50 }), steps => {
        const clock = new ManualClock();
        const loadRateLimiter = new LoadRateLimiter({ loadsPerS: 1, burst: 3, now: clock.now });
        let taken = 0;
        return steps.every(({ advanceMs, loads }) => {
            clock.advance(advanceMs);
            taken += loadRateLimiter.tryTake(loads) ? loads : 0;
            return taken <= clock.now() / 1000 + 1e-6;
        });
    }));
    t.pass();
});

test("an order larger than the burst delays the following orders", t => {
    const clock = new ManualClock();
    const loadRateLimiter = new LoadRateLimiter({ loadsPerS: 1, burst: 2, now: clock.now });
    clock.advance(2000);
    t.true(loadRateLimiter.tryTake(5));
    clock.advance(3000);
    t.false(loadRateLimiter.tryTake(1));
    clock.advance(1000);
    t.true(loadRateLimiter.tryTake(1));
});
