import test from "ava";
import { askInTurn } from "./ask-in-turn.js";
import { PlatformFleet } from "./platform-fleet.js";

const LIMIT_PER_S = 3;

/** Time after which a limit must hold, in milliseconds. */
const CONTACT_MS = 3_000;

/** Window in which sends are counted, in milliseconds. */
const WINDOW_MS = 4_000;

/** Most sends in a window: one and a half times the limit, and five. */
const MAX_SENDS = 1.5 * LIMIT_PER_S * WINDOW_MS / 1_000 + 5;

const ASK_INTERVAL_MS = 25;
const RUN_MS = 9_000;

/** Time after the end of a limit within which it must be noticed, in milliseconds. */
const NOTICE_MS = 3_000;

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Largest number of requests that a target got in a window that starts after a time. */
const getMaxSends = (fleet: PlatformFleet, target: string, fromMs: number): number => {
    const times = fleet.ran.filter(run => run.target === target && run.atMs >= fromMs).map(({ atMs }) => atMs);
    return Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + WINDOW_MS).length));
};

test.serial("a target gets no more requests from all instances together than the limit that it names", async t => {
    const fleet = await PlatformFleet.start({ prepaid: 10_000_000, modelCount: 3 });
    t.teardown(() => fleet.close());
    const [limited] = fleet.models;
    if (limited === undefined) {
        t.fail("no target");
        return;
    }
    limited.limitPerS = LIMIT_PER_S;
    const startedAtMs = performance.now();
    const answers = await askInTurn(fleet, RUN_MS, ASK_INTERVAL_MS);
    const sends = getMaxSends(fleet, limited.id, startedAtMs + CONTACT_MS);
    t.true(sends <= MAX_SENDS, `${sends} sends in ${WINDOW_MS} ms`);
    t.true(sends >= LIMIT_PER_S * WINDOW_MS / 1_000 / 2, `${sends} sends in ${WINDOW_MS} ms`);
    t.deepEqual(answers.filter(({ status }) => status !== HTTP_OK), []);
    limited.limitPerS = undefined;
    await askInTurn(fleet, NOTICE_MS, ASK_INTERVAL_MS);
    const freeFromMs = performance.now();
    await askInTurn(fleet, WINDOW_MS, ASK_INTERVAL_MS);
    const sendsAfter = getMaxSends(fleet, limited.id, freeFromMs);
    t.true(sendsAfter > MAX_SENDS, `${sendsAfter} sends in ${WINDOW_MS} ms after the end of the limit`);
});

test.serial("requests of a service whose targets are all at their limits are refused at once, with a retry time", async t => {
    const fleet = await PlatformFleet.start({ prepaid: 10_000_000 });
    t.teardown(() => fleet.close());
    fleet.models.forEach(model => model.limitPerS = LIMIT_PER_S);
    const startedAtMs = performance.now();
    const answers = await askInTurn(fleet, RUN_MS, ASK_INTERVAL_MS);
    for (const { id } of fleet.models) {
        const sends = getMaxSends(fleet, id, startedAtMs + CONTACT_MS);
        t.true(sends <= MAX_SENDS, `${sends} sends to ${id} in ${WINDOW_MS} ms`);
        t.true(sends >= LIMIT_PER_S * WINDOW_MS / 1_000 / 2, `${sends} sends to ${id} in ${WINDOW_MS} ms`);
    }
    const refused = answers.filter(({ status }) => status !== HTTP_OK);
    t.true(refused.length > 0);
    t.true(refused.every(({ status, retryAfterS = 0 }) => status === HTTP_UNAVAILABLE && retryAfterS > 0));
});
