import test from "ava";
import { MemoryLog } from "../fixtures/memory-log.js";
import { ViewFreshness } from "./view-freshness.js";

const create = () => {
    const clock = { ms: 0, wallOffsetMs: 0 };
    const log = new MemoryLog();
    const freshness = new ViewFreshness({
        log,
        nowMs: () => clock.ms,
        wallMs: () => clock.ms + clock.wallOffsetMs,
    });
    const respond = (prefix: string, requestedAtMs: number, delayMs = 0): void =>
        freshness.recordResponse({ prefix, requestedAtMs, delayMs });
    return { clock, log, freshness, respond };
};

test("the view is as old as the oldest prefix's last response", t => {
    const { clock, freshness, respond } = create();
    t.is(freshness.ageMs, 0);
    respond("a/", 100);
    respond("b/", 900);
    clock.ms = 1_000;
    t.is(freshness.ageMs, 900);
    respond("a/", 50);
    t.is(freshness.ageMs, 900);
    respond("a/", 950);
    t.is(freshness.ageMs, 100);
});

test("late responses are reported once, and once more when they have stopped", t => {
    const { clock, log, freshness, respond } = create();
    respond("a/", 0, 100);
    t.false(freshness.isInputDelayed);
    respond("a/", 0, 700);
    respond("a/", 0, 800);
    t.true(freshness.isInputDelayed);
    t.is(freshness.inputDelayMs, 800);
    clock.ms = 6_000;
    t.is(freshness.inputDelayMs, 0);
    respond("a/", 6_000);
    t.deepEqual(log.lines.map(({ event }) => event), ["network input delayed", "network input in time again"]);
});

test("an old view is outdated only where responses arrive late, not where nothing responds", t => {
    const { clock, freshness, respond } = create();
    respond("a/", 0);
    clock.ms = 60_000;
    t.false(freshness.isOutdated);
    respond("a/", 57_500, 2_400);
    t.true(freshness.isOutdated);
    respond("a/", 59_500, 300);
    t.false(freshness.isOutdated);
});

test("a view from before the machine was suspended is not current", t => {
    const { clock, freshness, respond } = create();
    clock.ms = 1_000;
    respond("a/", 1_000);
    clock.wallOffsetMs = 5_000;
    t.is(freshness.ageMs, 5_000);
    clock.ms = 1_100;
    respond("a/", 1_050);
    t.is(freshness.ageMs, 50);
});

test("a time of day that is set back does not make a view current", t => {
    const { clock, freshness, respond } = create();
    respond("a/", 0);
    clock.ms = 3_000;
    clock.wallOffsetMs = -5_000;
    t.is(freshness.ageMs, 3_000);
});

// An instance that was paused served the first requests by the desired state of before.
test("a view from before the process was paused is outdated until it is confirmed", t => {
    const { clock, log, freshness, respond } = create();
    respond("a/", 0);
    freshness.tick();
    clock.ms = 100;
    freshness.tick();
    t.false(freshness.isOutdated);
    clock.ms = 12_000;
    t.true(freshness.isOutdated);
    freshness.tick();
    t.true(freshness.isOutdated);
    respond("a/", 12_000);
    t.false(freshness.isOutdated);
    t.deepEqual(log.lines.map(({ event }) => event), ["process stood still"]);
});

test("a view from before the process was paused is used again where nothing responds for a second", t => {
    const { clock, freshness, respond } = create();
    respond("a/", 0);
    freshness.tick();
    clock.ms = 12_000;
    t.true(freshness.isOutdated);
    clock.ms = 13_001;
    t.false(freshness.isOutdated);
});

test("a process that others take the processor from for a second has not stood still", t => {
    const { clock, freshness, respond } = create();
    respond("a/", 0);
    for (clock.ms = 0; clock.ms < 10_000; clock.ms += 1_000) {
        freshness.tick();
        t.false(freshness.isOutdated);
    }
});
