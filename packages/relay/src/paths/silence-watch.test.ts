import type { ProbeOutcome } from "@ospreyreel/targets";
import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { TARGET } from "../fixtures/path-fleet.js";
import { SilenceWatch } from "./silence-watch.js";

interface Setting {
    readonly outcome: ProbeOutcome;
    readonly isReached?: boolean;
}

const start = ({ outcome, isReached = true }: Setting) => {
    const clock = { nowMs: 1_000 };
    const probes: number[] = [];
    const watch = new SilenceWatch({
        nowMs: () => clock.nowMs,
        probe: () => {
            probes.push(clock.nowMs);
            return Promise.resolve(outcome);
        },
        paths: {
            recordUnreachable: () => Promise.resolve(isReached),
        },
    });
    const aborted: string[] = [];
    const begin = (name: string) => watch.begin(TARGET, () => aborted.push(name));
    const wait = async (ms: number): Promise<void> => {
        clock.nowMs += ms;
        watch.checkAll();
        await sleep(0);
        await sleep(0);
    };
    return { watch, begin, wait, aborted, probes };
};

test("a request on a connection that hangs is ended once peers reach the target", async t => {
    const { begin, wait, aborted } = start({ outcome: "failed" });
    begin("first");
    await wait(200);
    t.deepEqual(aborted, []);
    await wait(200);
    t.deepEqual(aborted, ["first"]);
});

test("a sound target that is silent for a second loses no request", async t => {
    const { begin, wait, aborted, probes } = start({ outcome: "open" });
    begin("first");
    for (let count = 0; count < 12; count++) {
        await wait(100);
    }
    t.deepEqual(aborted, []);
    t.is(probes.length, 1);
});

test("a request is not ended where nobody reaches the target", async t => {
    const { begin, wait, aborted } = start({ outcome: "failed", isReached: false });
    begin("first");
    await wait(400);
    t.deepEqual(aborted, []);
});

test("open connections are kept where only new ones are refused", async t => {
    const { begin, wait, aborted } = start({ outcome: "refused" });
    begin("first");
    await wait(400);
    t.deepEqual(aborted, []);
});

test("a target that answers other requests is not checked", async t => {
    const { begin, wait, probes } = start({ outcome: "failed" });
    begin("first");
    const second = begin("second");
    for (let count = 0; count < 10; count++) {
        second.recordResponse();
        await wait(100);
    }
    t.deepEqual(probes, []);
});

test("a request that may run only once is not ended", async t => {
    const { watch, wait, begin, aborted } = start({ outcome: "failed" });
    watch.begin(TARGET);
    begin("repeatable");
    await wait(400);
    t.deepEqual(aborted, ["repeatable"]);
});
