import test from "ava";
import { FirstByteTimes } from "./first-byte-times.js";
import { RetryAllowance } from "./retry-allowance.js";
import { SecondSendPolicy } from "./second-send-policy.js";
import { getBusyShare, type TargetRoom } from "./target-room.js";

const IDLE: TargetRoom = { slots: 8, ownRequests: 0, isBlocked: false, load: undefined };

const createPolicy = () => {
    const clock = { ms: 0 };
    const policy = new SecondSendPolicy({ share: 0.1, percentile: 95, nowMs: () => clock.ms });
    return { clock, policy, getDenial: () => policy.getDenial({ isInstanceReady: true, targets: [IDLE] }) };
};

const learn = (times: FirstByteTimes, samples: number): void => {
    for (let sample = 0; sample < samples; sample++) {
        const promptTokens = sample % 2 === 0 ? 800 : 9_000;
        times.record(promptTokens, (100 + promptTokens * 0.05) * (sample % 10 === 9 ? 2 : 1));
    }
};

// Guards against long prompts that all count as slow, and short ones that never do.
test("the quantile follows the length of the prompt", t => {
    const times = new FirstByteTimes({ quantile: 0.8, nowMs: () => 0 });
    learn(times, 1_000);
    const short = times.getQuantileMs(800) ?? 0;
    const long = times.getQuantileMs(9_000) ?? 0;
    t.true(short > 110 && short < 180, String(short));
    t.true(long > 450 && long < 800, String(long));
});

// Guards against a quantile of a handful of responses, or of those of an hour ago.
test("the quantile is unknown with few samples and after they have expired", t => {
    const clock = { ms: 0 };
    const times = new FirstByteTimes({ quantile: 0.95, nowMs: () => clock.ms });
    learn(times, 79);
    t.is(times.getQuantileMs(800), undefined);
    learn(times, 1);
    t.not(times.getQuantileMs(800), undefined);
    clock.ms = 240_000;
    t.is(times.getQuantileMs(800), undefined);
});

// Guards against second sends beyond the operators' share at any time, and against a share that is never used again.
test("in any minute second sends stay within the share of all sends", t => {
    const { clock, policy, getDenial } = createPolicy();
    const seconds: number[] = [];
    for (; clock.ms < 180_000; clock.ms += 100) {
        policy.recordSend();
        if (getDenial() === undefined) {
            policy.recordSend();
            policy.recordSecond();
            seconds.push(clock.ms);
        }
    }
    const most = Math.max(...seconds.map(from => seconds.filter(at => at >= from && at < from + 57_000).length));
    t.true(most <= 0.1 * 660, String(most));
    t.true(seconds.filter(at => at >= 120_000).length > 30);
});

// Guards against work for second sends that shorten nothing, and against second sends that stay off for good.
test("second sends are off for a time where too few win", t => {
    const { clock, policy, getDenial } = createPolicy();
    [...Array(100).keys()].forEach(() => policy.recordSend());
    const results = [...Array(20).keys()].map(send => policy.recordResult(send % 7 === 0));
    t.is(results.filter(isTurnedOff => isTurnedOff).length, 1);
    t.is(getDenial(), "off");
    t.true(policy.view.isOff);
    clock.ms += 120_000;
    [...Array(10).keys()].forEach(() => policy.recordSend());
    t.is(getDenial(), undefined);
    t.false([...Array(40).keys()].some(send => policy.recordResult(send % 4 === 0)));
});

// Guards against retries of failed requests that find the allowance used by second sends.
test("second sends use half of the retry allowance at most, and nothing once retries use half", t => {
    const createAllowance = () =>
        new RetryAllowance({ ratio: 0, slack: 50, windowMs: 10_000, getInstances: () => 1, now: () => 0 });
    const countAcquired = (acquire: () => boolean): number => [...Array(30).keys()].filter(acquire).length;
    const first = createAllowance();
    t.is(countAcquired(() => first.tryAcquireSecond()), 20);
    t.is(countAcquired(() => first.tryAcquire()), 20);
    const second = createAllowance();
    t.is([...Array(20).keys()].filter(() => second.tryAcquire()).length, 20);
    t.is(countAcquired(() => second.tryAcquireSecond()), 0);
});

// Guards against second sends to targets that have no slot or memory for them by fresh reports, and against trust in old ones.
test("room is known by reports as far as they count, and by own requests otherwise", t => {
    const load = { running: 4, queued: 0, usedTokens: 900, capacityTokens: 1_000, ageMs: 0, weight: 1 };
    t.is(getBusyShare({ ...IDLE, ownRequests: 2 }), 0.25);
    t.is(getBusyShare({ ...IDLE, isBlocked: true }), 1);
    t.is(getBusyShare({ ...IDLE, load }), 0.9);
    t.is(getBusyShare({ ...IDLE, load }, 200), 1);
    t.is(getBusyShare({ ...IDLE, load: { ...load, queued: 1 } }), 1);
    t.is(getBusyShare({ ...IDLE, load: { ...load, queued: 1, weight: 0 } }), 0);
});
