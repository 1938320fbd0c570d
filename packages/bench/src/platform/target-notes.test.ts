import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { askInTurn } from "./ask-in-turn.js";
import { PlatformFleet } from "./platform-fleet.js";

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Time after an answer that says so from which a leaving target gets nothing more, in milliseconds; `drainMs`. */
const DRAIN_MS = 2_000;

/** Time after a rejection from which a target gets nothing from the instance, in milliseconds. */
const GRACE_MS = 500;

/** Most requests that a target may get in the time for which it wants none, from one instance. */
const MAX_LATE = 2;

const PAUSE_S = 3;
const RUN_MS = 1_500;
const ASK_INTERVAL_MS = 20;

test.serial("a target that says in its answers that it leaves gets no requests afterwards", async t => {
    const fleet = await PlatformFleet.start({ prepaid: 10_000_000 });
    t.teardown(() => fleet.close());
    const [leaving] = fleet.models;
    if (leaving === undefined) {
        t.fail("no target");
        return;
    }
    leaving.isLeaving = true;
    await askInTurn(fleet, RUN_MS, ASK_INTERVAL_MS);
    t.true(leaving.ran.length > 0);
    await sleep(DRAIN_MS);
    const fromMs = performance.now();
    const answers = await askInTurn(fleet, RUN_MS, ASK_INTERVAL_MS);
    t.is(leaving.ran.filter(({ atMs }) => atMs >= fromMs).length, 0);
    t.deepEqual(answers.filter(({ status }) => status !== HTTP_OK), []);
});

test.serial("a target gets nothing from an instance for the time that it asked for when it rejected a request", async t => {
    const fleet = await PlatformFleet.start({ count: 1, prepaid: 10_000_000 });
    t.teardown(() => fleet.close());
    fleet.models.forEach(model => model.rejectsForS = PAUSE_S);
    const startedAtMs = performance.now();
    const answers = await askInTurn(fleet, RUN_MS, ASK_INTERVAL_MS);
    for (const { rejectedAtMs } of fleet.models) {
        const [first = startedAtMs] = rejectedAtMs;
        const late = rejectedAtMs.filter(atMs => atMs > first + GRACE_MS).length;
        t.true(late <= MAX_LATE, `${late} requests in the time for which the target wants none`);
    }
    t.true(answers.every(({ status, retryAfterS = 0 }) => status === HTTP_UNAVAILABLE && retryAfterS > 0));
    fleet.models.forEach(model => model.rejectsForS = undefined);
    await sleep(PAUSE_S * 1_000);
    t.deepEqual((await askInTurn(fleet, RUN_MS, ASK_INTERVAL_MS)).filter(({ status }) => status !== HTTP_OK), []);
});
