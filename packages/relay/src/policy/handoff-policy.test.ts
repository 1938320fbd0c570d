import test from "ava";
import { HandoffPolicy } from "./handoff-policy.js";

const INTERVAL_MS = 200;
const MS_PER_S = 1_000;

/** Processor time of a request that is served here, and of one that is handed off, on a small instance; in milliseconds. */
const SERVE_MS = 12;
const COPY_MS = 2;

/** Time for which other things take the processor in each interval, in milliseconds. */
const OTHER_WORK_MS = 20;

/** Replays requests a second by second at an instance; returns for each second what it served, handed off and left in its queue. */
const replay = (policy: HandoffPolicy, ratesPerS: readonly number[], otherWorkMs = OTHER_WORK_MS) => {
    let queued = 0;
    return ratesPerS.map(ratePerS => {
        let served = 0;
        let handedOff = 0;
        for (let atMs = 0; atMs < MS_PER_S; atMs += INTERVAL_MS) {
            const arrived = ratePerS * INTERVAL_MS / MS_PER_S;
            const handed = policy.isHandingOff ? arrived : 0;
            queued += arrived - handed;
            const timeMs = Math.max(0, INTERVAL_MS - otherWorkMs - handed * COPY_MS);
            const done = Math.min(queued, timeMs / SERVE_MS);
            queued -= done;
            served += done;
            handedOff += handed;
            const busyMs = otherWorkMs + done * SERVE_MS + handed * COPY_MS;
            const idleShare = Math.max(0, 1 - busyMs / INTERVAL_MS);
            policy.recordSample({ idleShare, ownRequests: done, handedOff: handed, intervalMs: INTERVAL_MS });
        }
        return { served, handedOff, queued };
    });
};

const repeat = (ratePerS: number, seconds: number): readonly number[] =>
    Array.from({ length: seconds }, () => ratePerS);

test("load pattern, one team at one small instance: its callers do not queue there", t => {
    const seconds = replay(new HandoffPolicy(), repeat(150, 20));
    const settled = seconds.slice(2);
    t.true(settled.every(({ queued }) => queued < 1), JSON.stringify(settled.map(({ queued }) => queued)));
    t.true(settled.every(({ handedOff }) => handedOff >= 149), JSON.stringify(settled));
});

test("load pattern, one team at one small instance: connections are kept again within seconds once it sends less", t => {
    const seconds = replay(new HandoffPolicy(), [...repeat(150, 5), ...repeat(20, 10)]);
    t.is(seconds.at(-1)?.handedOff, 0);
    t.true((seconds.at(-1)?.served ?? 0) >= 19);
});

test("an instance that keeps up with its callers hands nothing off", t => {
    t.true(replay(new HandoffPolicy(), repeat(50, 20)).every(({ handedOff }) => handedOff === 0));
});

test("an instance that is busy with other things than requests hands nothing off", t => {
    t.true(replay(new HandoffPolicy(), repeat(4, 10), 195).every(({ handedOff }) => handedOff === 0));
});
