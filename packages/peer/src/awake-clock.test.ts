import test from "ava";
import { AwakeClock } from "./awake-clock.js";

test("a pause of the process counts for no more than one step", t => {
    let now = 0;
    const clock = new AwakeClock({ maxStepMs: 100, now: () => now });
    now = 50;
    t.is(clock.tick(), 50);
    now = 60_050;
    t.is(clock.tick(), 60_000);
    t.is(clock.elapsedMs, 150);
});
