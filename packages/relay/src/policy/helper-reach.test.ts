import test from "ava";
import { HelperReach } from "./helper-reach.js";

const LATE_MS = 300;

/** Replays connections that are begun at regular times; returns when the helper was given up, undefined where it never was. */
const replay = (intervalMs: number, count: number, isLate: (at: number) => boolean): number | undefined => {
    const reach = new HelperReach();
    for (let at = 0; at < count; at++) {
        const begunAtMs = at * intervalMs;
        const failedAtMs = begunAtMs + LATE_MS;
        if (!isLate(at)) {
            reach.recordReached();
        }
        else if (reach.recordFailed({ begunAtMs, failedAtMs, isLate: true })) {
            return failedAtMs;
        }
    }
    return undefined;
};

test("load pattern, one team at an instance with a full link: a helper that most connections reach is kept", t => {
    t.is(replay(10, 2_000, at => at % 3 === 0), undefined);
    t.is(replay(10, 2_000, at => at % 100 < 60), undefined);
});

test("a helper that no connection reaches is given up within the time that callers wait", t => {
    const givenUpAtMs = replay(10, 2_000, () => true);
    t.true(givenUpAtMs !== undefined && givenUpAtMs <= 1_010, String(givenUpAtMs));
});

test("a helper that rejects a connection is given up at once", t => {
    t.true(new HelperReach().recordFailed({ begunAtMs: 0, failedAtMs: 1, isLate: false }));
});

test("what failed before a connection was opened does not count", t => {
    const reach = new HelperReach();
    t.false(reach.recordFailed({ begunAtMs: 0, failedAtMs: LATE_MS, isLate: true }));
    reach.recordReached();
    t.false(reach.recordFailed({ begunAtMs: 1_500, failedAtMs: 1_800, isLate: true }));
});

// Guards against a team that is starved at a small instance, since one late connection ends the hand-off where another was late long before.
test("a connection that is late long after another one does not end the hand-off", t => {
    const reach = new HelperReach();
    t.false(reach.recordFailed({ begunAtMs: 0, failedAtMs: LATE_MS, isLate: true }));
    t.false(reach.recordFailed({ begunAtMs: 60_000, failedAtMs: 60_000 + LATE_MS, isLate: true }));
});
