import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { type CallerAnswer, PlatformFleet } from "./platform-fleet.js";

const DEADLY_PART = "dead";
const SHARED_PART = "5a5a";

/** Time after the fifth crash from which requests that crash targets are counted, in milliseconds. */
const CONTACT_MS = 3_000;
const CRASHES_TO_LEARN = 5;
const MAX_LATER_SENDS = 3;

const DEADLY_INTERVAL_MS = 120;
const SOUND_INTERVAL_MS = 40;
const RUN_MS = 12_000;

/** Time within which fewer than five crashes must have been enough, in milliseconds. */
const LEARNT_WITHIN_MS = 6_000;

interface SoundCall {
    readonly startedAtMs: number;
    readonly answer: CallerAnswer;
}

/** Sends a request at an interval until a time, to each instance in turn. */
const sendEvery = async (
    fleet: PlatformFleet,
    intervalMs: number,
    endsAtMs: number,
    createParts: (index: number) => readonly string[],
): Promise<readonly SoundCall[]> => {
    const calls: Promise<SoundCall>[] = [];
    for (let index = 0; performance.now() < endsAtMs; index++) {
        const instance = fleet.instances[index % fleet.instances.length];
        if (instance !== undefined) {
            const startedAtMs = performance.now();
            const prefix = createParts(index).map(id => `${id}:20`).join(",");
            const answer = fleet.ask(instance, 60, { "prompt-prefix": prefix });
            calls.push(answer.then(received => ({ startedAtMs, answer: received })));
        }
        await sleep(intervalMs);
    }
    return await Promise.all(calls);
};

test.serial("a prompt part that crashes targets is kept from all targets after a few crashes", async t => {
    const fleet = await PlatformFleet.start({
        prepaid: 10_000_000,
        modelCount: 4,
        models: { deadlyPart: DEADLY_PART, stepMs: 20 },
    });
    t.teardown(() => fleet.close());
    const startedAtMs = performance.now();
    const endsAtMs = startedAtMs + RUN_MS;
    const [sound] = await Promise.all([
        sendEvery(fleet, SOUND_INTERVAL_MS, endsAtMs, index => [SHARED_PART, `b${index % 8}`, `c${index}`]),
        sendEvery(fleet, DEADLY_INTERVAL_MS, endsAtMs, index => [SHARED_PART, DEADLY_PART, `d${index}`]),
    ]);
    const crashes = fleet.models.flatMap(model => model.crashedAtMs).toSorted((a, b) => a - b);
    const fifthAtMs = crashes[CRASHES_TO_LEARN - 1];
    const fromMs = fifthAtMs === undefined ? startedAtMs + LEARNT_WITHIN_MS : fifthAtMs + CONTACT_MS;
    t.log(`crashes after ${crashes.map(atMs => Math.round(atMs - startedAtMs)).join(", ")} ms`);
    const laterSends = fleet.ran.filter(({ parts, atMs }) => parts.includes(DEADLY_PART) && atMs > fromMs);
    t.true(laterSends.length <= MAX_LATER_SENDS, `${laterSends.length} later sends`);
    const later = sound.filter(call => call.startedAtMs > fromMs);
    const served = later.filter(call => call.answer.status === 200);
    t.true(served.length >= later.length / 2, `${served.length} of ${later.length} sound requests served`);
});

test.serial("a quarantined part is not sent to targets after all instances were killed and started again", async t => {
    const fleet = await PlatformFleet.start({
        count: 2,
        modelCount: 4,
        models: { deadlyPart: DEADLY_PART, stepMs: 20 },
    });
    t.teardown(() => fleet.close());
    const askDeadly = async (index: number): Promise<CallerAnswer | undefined> => {
        const instance = fleet.instances[index % fleet.instances.length];
        const headers = { "prompt-prefix": `${SHARED_PART}:20,${DEADLY_PART}:20,e${index}:20` };
        return instance === undefined ? undefined : await fleet.ask(instance, 60, headers);
    };
    await sendEvery(fleet, DEADLY_INTERVAL_MS, performance.now() + LEARNT_WITHIN_MS, index => [
        SHARED_PART,
        DEADLY_PART,
        `d${index}`,
    ]);
    t.is((await askDeadly(0))?.status, 503);
    fleet.instances.forEach(instance => instance.process.kill("SIGKILL"));
    await Promise.all(fleet.instances.map(instance => fleet.restart(instance)));
    const before = fleet.ran.length;
    await sleep(1_000);
    for (let index = 1; index <= 6; index++) {
        const answer = await askDeadly(index);
        t.is(answer?.status, 503);
        t.true((answer?.retryAfterS ?? 0) > 10);
    }
    t.is(fleet.ran.length, before);
    const [first] = fleet.instances;
    const sound = first === undefined
        ? undefined
        : await fleet.ask(first, 60, { "prompt-prefix": `${SHARED_PART}:20,c:20` });
    t.is(sound?.status, 200);
});
