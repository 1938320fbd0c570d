import test from "ava";
import type { ProbeOutcome } from "./probe-connection.js";
import { ProcessCheck } from "./process-check.js";

const ADDRESS = { host: "127.0.0.1", port: 1 };

/** A check whose attempts end as told; the last outcome is repeated. */
const createCheck = (outcomes: readonly ProbeOutcome[]) => {
    let attempts = 0;
    const check = new ProcessCheck({
        probe: () => {
            attempts += 1;
            return Promise.resolve(outcomes[Math.min(attempts, outcomes.length) - 1] ?? "failed");
        },
        wait: () => Promise.resolve(),
    });
    return { check, getAttempts: () => attempts };
};

/** A check whose attempts end when the test says how. */
const createOpenCheck = () => {
    const open: ((outcome: ProbeOutcome) => void)[] = [];
    const check = new ProcessCheck({ probe: () => new Promise(resolve => open.push(resolve)) });
    return { check, open };
};

const turn = () => new Promise(resolve => setImmediate(resolve));

test("a process that accepts runs, and one that refuses is gone", async t => {
    t.is(await createCheck(["open"]).check.check(ADDRESS, 10), "running");
    t.is(await createCheck(["refused"]).check.check(ADDRESS, 10), "gone");
});

// Guards against whole responses that count as cut, since a first packet is sent again only after a second.
test("an attempt without an answer is repeated", async t => {
    const { check, getAttempts } = createCheck(["failed", "failed", "open"]);
    t.is(await check.check(ADDRESS, 10), "running");
    t.is(getAttempts(), 3);
});

test("a target that never answers is unknown", async t => {
    t.is(await createCheck(["failed"]).check.check(ADDRESS, 10), "unknown");
});

// Guards against a killed process that counts as running, since the kernel closes its listener after its connections.
test("a process that drops a connection and refuses the next is gone", async t => {
    t.is(await createCheck(["dropped", "refused"]).check.check(ADDRESS, 10), "gone");
});

test("a process that drops each connection, as one with too many does, runs", async t => {
    t.is(await createCheck(["dropped"]).check.check(ADDRESS, 10), "running");
});

// Guards against a response that counts as whole by a connection from before its end.
test("a check that began earlier does not tell that the process runs", async t => {
    const { check, open } = createOpenCheck();
    const first = check.check(ADDRESS, 10);
    const later = [check.check(ADDRESS, 10), check.check(ADDRESS, 10)];
    open[0]?.("open");
    t.is(await first, "running");
    await turn();
    t.is(open.length, 2);
    open[1]?.("refused");
    t.deepEqual(await Promise.all(later), ["gone", "gone"]);
});

test("a check that began earlier tells that the process is gone", async t => {
    const { check, open } = createOpenCheck();
    const checks = [check.check(ADDRESS, 10), check.check(ADDRESS, 10)];
    open[0]?.("refused");
    t.deepEqual(await Promise.all(checks), ["gone", "gone"]);
    t.is(open.length, 1);
});
