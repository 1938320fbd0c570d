import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { type CallerAnswer, PlatformFleet } from "./platform-fleet.js";

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Time after which brittle targets let fewer requests wait, in milliseconds; `contactMs`. */
const CONTACT_MS = 3_000;

const MODELS = 3;

/** Requests that a target handles at the same time, as its entry says. */
const SLOTS = 8;

/** Rejections a second beyond which a target crashes. */
const BRITTLE_AT = 4;

/** Most crashes while targets are brittle. */
const MAX_CRASHES = 2 + MODELS / 10;

/** Requests that are sent together, and the time between two such bursts in milliseconds; more than all targets have room for. */
const BURST = 10;
const BURST_INTERVAL_MS = 50;

const STEP_MS = 40;
const EVENTS = 6;
const RUN_MS = 6_000;

/** Share of the requests that the targets could serve that have to be served. */
const MIN_USED_SHARE = 0.5;

/** Asks the instances for more than the targets have room for. */
const askBeyondRoom = async (fleet: PlatformFleet, runMs: number): Promise<readonly CallerAnswer[]> => {
    const endsAtMs = performance.now() + runMs;
    const answers: Promise<CallerAnswer>[] = [];
    for (let round = 0; performance.now() < endsAtMs; round++) {
        for (let index = 0; index < BURST; index++) {
            const instance = fleet.instances[index % fleet.instances.length];
            if (instance !== undefined) {
                answers.push(fleet.ask(instance, 60, { "prompt-prefix": `a${round}:20,b${index}:20` }));
            }
        }
        await sleep(BURST_INTERVAL_MS);
    }
    return await Promise.all(answers);
};

test.serial("brittle targets are not made to reject so much that they crash", async t => {
    const fleet = await PlatformFleet.start({
        count: 5,
        prepaid: 100_000_000,
        modelCount: MODELS,
        models: { stepMs: STEP_MS, events: EVENTS, downMs: 2_000 },
    });
    t.teardown(() => fleet.close());
    fleet.models.forEach(model => {
        model.room = 2 * SLOTS;
        model.brittleAt = BRITTLE_AT;
    });
    for (const endsAtMs = performance.now() + CONTACT_MS; performance.now() < endsAtMs;) {
        await Promise.all(fleet.instances.map(instance => fleet.ask(instance, 60)));
    }
    fleet.models.forEach(model => model.room = SLOTS);
    const answers = await askBeyondRoom(fleet, RUN_MS);
    const crashes = fleet.models.reduce((sum, model) => sum + model.crashedAtMs.length, 0);
    t.true(crashes <= MAX_CRASHES, `${crashes} crashes`);
    const served = answers.filter(({ status }) => status === HTTP_OK).length;
    const possible = MODELS * SLOTS * RUN_MS / (STEP_MS * EVENTS);
    t.log(`${crashes} crashes, ${served} of ${possible} served`);
    t.true(served >= MIN_USED_SHARE * possible, `${served} of ${possible} served`);
    const others = answers.filter(({ status }) => status !== HTTP_OK);
    t.true(others.every(({ status, retryAfterS = 0 }) => status === HTTP_UNAVAILABLE && retryAfterS > 0));
    fleet.models.forEach(model => model.brittleAt = undefined);
});
