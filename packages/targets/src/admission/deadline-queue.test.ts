import { hasResult, type OspreyError } from "@ospreyreel/errors";
import test from "ava";
import fc from "fast-check";
import { ManualClock } from "../fixtures/manual-clock.js";
import { DeadlineAdmission } from "./deadline-admission.js";
import { DeadlineQueue } from "./deadline-queue.js";
import { LengthAdmission } from "./length-admission.js";
import { type OrderedRequest, QueueOrder } from "./queue-order.js";

interface Places {
    free: number;
}

const createQueue = (servedPerS?: number): DeadlineQueue<string> =>
    new DeadlineQueue({
        policy: new DeadlineAdmission(),
        getServedPerS: () => servedPerS,
        now: new ManualClock().now,
    });

const createTryAcquire = (places: Places, name: string) => (): string | undefined => {
    if (places.free === 0) {
        return undefined;
    }
    places.free -= 1;
    return name;
};

test("requests are admitted by priority, then by deadline", async t => {
    const queue = createQueue();
    const places = { free: 0 };
    const order: string[] = [];
    const wait = (name: string, priority: number, deadlineAtMs: number): Promise<string> => {
        const tryAcquire = createTryAcquire(places, name);
        return queue.wait({
            priority,
            deadlineAtMs,
            tryAcquire: () => {
                const acquired = tryAcquire();
                order.push(...(acquired === undefined ? [] : [acquired]));
                return acquired;
            },
        });
    };
    const all = [wait("c", 5, 9000), wait("b", 5, 8000), wait("d", 9, 7000), wait("a", 0, 9000)];
    for (let i = 0; i < all.length; i += 1) {
        places.free = 1;
        queue.drain();
    }
    t.deepEqual(await Promise.all(all), ["c", "b", "d", "a"]);
    t.deepEqual(order, ["a", "b", "c", "d"]);
});

test("a request whose deadline cannot be met is rejected immediately with a retry time", async t => {
    const queue = createQueue(2);
    const tryAcquire = (): undefined => undefined;
    const waiting = Array.from(
        { length: 4 },
        () => queue.wait({ priority: 5, deadlineAtMs: 5000, tryAcquire }).catch(() => "refused"),
    );
    const err = await t.throwsAsync(queue.wait({ priority: 5, deadlineAtMs: 5000, tryAcquire }));
    t.true(hasResult(err, "overloaded"));
    t.is((err as OspreyError).retryAfterS, 1);
    t.is(queue.length, 4);
    queue.rejectAll(() => new Error("end"));
    t.deepEqual(new Set(await Promise.all(waiting)), new Set(["refused"]));
});

test("a passed deadline and an aborted call end the wait", async t => {
    const queue = createQueue();
    const tryAcquire = (): undefined => undefined;
    const expired = await t.throwsAsync(queue.wait({ priority: 5, deadlineAtMs: 1, tryAcquire }));
    t.true(hasResult(expired, "overloaded"));
    const abort = new AbortController();
    const waiting = queue.wait({ priority: 5, deadlineAtMs: 60_000, tryAcquire, signal: abort.signal });
    abort.abort(new Error("caller left"));
    await t.throwsAsync(waiting, { message: "caller left" });
    t.is(queue.length, 0);
});

test("a skippable request does not block the next one", async t => {
    const queue = createQueue();
    const places = { free: 0 };
    const first = queue.wait({ priority: 0, deadlineAtMs: 60_000, tryAcquire: () => undefined, skippable: true })
        .catch(() => "refused");
    const second = queue.wait({ priority: 5, deadlineAtMs: 60_000, tryAcquire: createTryAcquire(places, "second") });
    places.free = 1;
    queue.drain();
    t.is(await second, "second");
    queue.rejectAll(() => new Error("end"));
    t.is(await first, "refused");
});

test("a request admitted by deadline is served in time at the measured rate", t => {
    const anyNumbers = fc.record({
        priority: fc.nat(9),
        ahead: fc.nat(300),
        queued: fc.nat(300),
        servedPerS: fc.option(fc.double({ min: 0, max: 1000, noNaN: true }), { nil: undefined }),
        timeLeftMs: fc.integer({ min: -100, max: 60_000 }),
    });
    fc.assert(fc.property(anyNumbers, numbers => {
        const decision = new DeadlineAdmission({ maxQueued: 256 }).decide(numbers);
        if (!decision.admitted) {
            return decision.retryAfterS >= 1 && decision.retryAfterS <= 30;
        }
        const { ahead, servedPerS = Number.POSITIVE_INFINITY, timeLeftMs } = numbers;
        return numbers.queued < 256 && (ahead + 1) / servedPerS * 1000 <= timeLeftMs / 2;
    }));
    t.pass();
});

test("low priorities get some places, but fewer, while high ones alone are twice what can be served", async t => {
    const clock = new ManualClock();
    const queue = new DeadlineQueue<string>({
        policy: new DeadlineAdmission(),
        getServedPerS: () => 20,
        now: clock.now,
    });
    const served = { high: 0, low: 0, refused: 0 };
    const places = { free: 0 };
    const calls: Promise<void>[] = [];
    const call = async (kind: "high" | "low", priority: number): Promise<void> => {
        const deadlineAtMs = clock.now() + 2_000;
        const outcome = await queue.wait({ priority, deadlineAtMs, tryAcquire: createTryAcquire(places, kind) })
            .catch(() => "refused" as const);
        served[outcome === "refused" ? outcome : kind] += 1;
    };
    for (let step = 0; step < 1_000; step++) {
        calls.push(call("high", 1), call("high", 1), call("low", 8));
        clock.advance(50);
        places.free = 1;
        queue.drain();
        queue.rejectLate();
    }
    queue.rejectAll(() => new Error("end"));
    await Promise.all(calls);
    t.true(served.low >= 50, JSON.stringify(served));
    t.true(served.high >= 2 * served.low, JSON.stringify(served));
    t.true(served.high + served.low >= 950, JSON.stringify(served));
});

test("waiting requests are rejected as soon as the rate shows that they will miss their deadline", async t => {
    let servedPerS = 100;
    const queue = new DeadlineQueue<string>({
        policy: new DeadlineAdmission(),
        getServedPerS: () => servedPerS,
        now: new ManualClock().now,
    });
    const waiting = Array.from(
        { length: 10 },
        () =>
            queue.wait({ priority: 5, deadlineAtMs: 2000, tryAcquire: () => undefined }).then(
                () => undefined,
                (err: unknown) => err,
            ),
    );
    queue.rejectLate();
    t.is(queue.length, 10);
    servedPerS = 2;
    queue.rejectLate();
    t.is(queue.length, 4);
    const refused = await Promise.all(waiting.slice(4));
    t.true(refused.every(err => hasResult(err, "overloaded") && err.retryAfterS === 1));
    queue.rejectAll(() => new Error("end"));
    await Promise.all(waiting);
});

test("the baseline considers the queue length only", t => {
    const policy = new LengthAdmission(2);
    t.true(policy.decide({ priority: 5, ahead: 1, queued: 1, servedPerS: 0.001, timeLeftMs: 1 }).admitted);
    t.false(policy.decide({ priority: 5, ahead: 2, queued: 2, servedPerS: 1000, timeLeftMs: 60_000 }).admitted);
});

/** Orders by priority; a request that has waited for a second goes first. */
class AgingOrder extends QueueOrder {
    override getRank({ priority, waitingSinceMs }: OrderedRequest, nowMs: number): number {
        return nowMs - waitingSinceMs >= 1_000 ? -1 : priority;
    }
}

test("an order that changes with time is applied to requests that wait already", async t => {
    const clock = new ManualClock();
    const queue = new DeadlineQueue<string>({
        policy: new LengthAdmission(9),
        getServedPerS: () => undefined,
        order: new AgingOrder(),
        now: clock.now,
    });
    const places = { free: 0 };
    const wait = (name: string, priority: number): Promise<string> =>
        queue.wait({ priority, deadlineAtMs: 9_000, tryAcquire: createTryAcquire(places, name) });
    const old = wait("old", 5);
    clock.advance(1_000);
    const urgent = wait("urgent", 0);
    places.free = 1;
    queue.drain();
    t.is(await old, "old");
    places.free = 1;
    queue.drain();
    t.is(await urgent, "urgent");
});
