import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { type CallerAnswer, PlatformFleet, type PlatformInstance } from "./platform-fleet.js";
import { askServed, findOwner, TOKENS_EACH } from "./spend-budget.js";

const PREPAID = 20_000;

/** Time after the start in which the budget's record is in each copy of the store, in milliseconds. */
const SETTLED_MS = 12_000;

/** Longer than the time-out of any peer, caller or call to the store. */
const PAUSE_MS = 20_000;

/** Time after which the other instances and the store have given up the paused one, in milliseconds. */
const CHANGE_AFTER_MS = 6_000;

/** Time in which an instance serves again after its pause; `contactMs` of the users' sites. */
const CONTACT_MS = 3_000;

/** Requests of each kind that wait at the paused instance, and time before its end in which they are sent, in milliseconds. */
const WAITING = 8;
const SENT_BEFORE_MS = 200;

const askEach = (fleet: PlatformFleet, paused: PlatformInstance): Promise<readonly (readonly CallerAnswer[])[]> => {
    const ask = (send: () => Promise<CallerAnswer>): Promise<readonly CallerAnswer[]> =>
        Promise.all(Array.from({ length: WAITING }, send));
    return Promise.all([
        ask(() => fleet.call(paused, "/new/x")),
        ask(() => fleet.ask(paused, 70)),
        ask(() => fleet.call(paused, "/plain/x")),
    ]);
};

// A suspended instance wakes with the desired state, targets and budgets of before.
test.serial("an instance that was paused for long serves nothing by what it knew before", async t => {
    const fleet = await PlatformFleet.start({ prepaid: PREPAID, plainCount: 2, modelCount: 3 });
    t.teardown(() => fleet.close());
    fleet.apply(2, PREPAID);
    await sleep(SETTLED_MS);
    const before = await askServed(fleet, fleet.instances, 40);
    const paused = await findOwner(fleet);
    if (paused === undefined) {
        throw new Error("nobody owns the budget");
    }
    t.is((await fleet.call(paused, "/new/x")).status, 200);
    const [removed] = fleet.models.toSorted((a, b) => b.ran.length - a.ran.length);
    const others = fleet.instances.filter(instance => instance !== paused);
    const pausedAtMs = performance.now();
    paused.process.kill("SIGSTOP");
    let meanwhile = await askServed(fleet, others, PREPAID / TOKENS_EACH - before, pausedAtMs + CHANGE_AFTER_MS);
    fleet.removeTarget(fleet.models.findIndex(target => target === removed));
    fleet.apply(3, PREPAID, { hasNewRoute: false });
    meanwhile += await askServed(fleet, others, PREPAID / TOKENS_EACH - before - meanwhile);
    await sleep(Math.max(0, pausedAtMs + PAUSE_MS - SENT_BEFORE_MS - performance.now()));
    const waiting = askEach(fleet, paused);
    await sleep(SENT_BEFORE_MS);
    const continuedAtMs = performance.now();
    paused.process.kill("SIGCONT");
    const atOnce = askEach(fleet, paused);
    const [news, asked, plains] = await Promise.all([waiting, atOnce]).then(([first, second]) =>
        first.map((answers, kind) => [...answers, ...second[kind] ?? []])
    );
    const wokenAfterMs = performance.now() - continuedAtMs;
    const after = await askServed(fleet, fleet.instances, PREPAID / TOKENS_EACH, performance.now() + CONTACT_MS);
    const statuses = [news, asked, plains].map(answers => answers?.map(answer => answer.status).join(" "));
    const served = before + meanwhile + after + (asked?.filter(answer => answer.status === 200).length ?? 0);
    t.log(
        `${before} requests before, ${meanwhile} in the pause, ${after} after; ${Math.round(wokenAfterMs)} ms`,
        statuses,
    );
    t.true(meanwhile > 0);
    t.false(news?.some(answer => answer.status === 200));
    t.true(served * TOKENS_EACH <= PREPAID, `${served} requests served`);
    t.deepEqual(removed?.ran.filter(run => run.atMs > continuedAtMs - SENT_BEFORE_MS), []);
    t.is((await fleet.call(paused, "/plain/x")).status, 200);
    t.is((await fleet.call(paused, "/new/x")).status, 404);
});
