import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { type CallerAnswer, PlatformFleet, type PlatformInstance } from "./platform-fleet.js";

const DEADLY_BODY = "deadly";

/** Time after the third crash from which sends of the request that caused it are counted, in milliseconds. */
const CONTACT_MS = 3_000;
const CRASHES_TO_LEARN = 3;
const MAX_LATER_SENDS = 3;

const DEADLY_INTERVAL_MS = 250;
const SOUND_INTERVAL_MS = 40;
const RUN_MS = 14_000;

interface SoundCall {
    readonly startedAtMs: number;
    readonly answer: CallerAnswer;
}

type Send = (instance: PlatformInstance, index: number) => Promise<CallerAnswer>;

/** Sends a request at an interval until a time, to each instance in turn. */
const sendEvery = async (
    fleet: PlatformFleet,
    intervalMs: number,
    endsAtMs: number,
    send: Send,
): Promise<readonly SoundCall[]> => {
    const calls: Promise<SoundCall>[] = [];
    for (let index = 0; performance.now() < endsAtMs; index++) {
        const instance = fleet.instances[index % fleet.instances.length];
        if (instance !== undefined) {
            const startedAtMs = performance.now();
            calls.push(send(instance, index).then(answer => ({ startedAtMs, answer })));
        }
        await sleep(intervalMs);
    }
    return await Promise.all(calls);
};

/** Sends the deadly request and sound ones for a time; returns later sends of the first and later sound calls. */
const playDeadlyRequest = async (fleet: PlatformFleet, sendDeadly: Send, sendSound: Send) => {
    const startedAtMs = performance.now();
    const endsAtMs = startedAtMs + RUN_MS;
    const [sound] = await Promise.all([
        sendEvery(fleet, SOUND_INTERVAL_MS, endsAtMs, sendSound),
        sendEvery(fleet, DEADLY_INTERVAL_MS, endsAtMs, sendDeadly),
    ]);
    const crashes = fleet.targets.flatMap(target => target.crashedAtMs).toSorted((a, b) => a - b);
    const fromMs = (crashes[CRASHES_TO_LEARN - 1] ?? startedAtMs) + CONTACT_MS;
    const laterSends = fleet.ran.filter(({ body, atMs }) => body === DEADLY_BODY && atMs > fromMs).length;
    const later = sound.filter(call => call.startedAtMs > fromMs);
    const served = later.filter(call => call.answer.status === 200).length;
    const crashMs = crashes.map(atMs => Math.round(atMs - startedAtMs));
    return { crashMs, laterSends, later: later.length, served };
};

for (const path of ["/plain/x", "/once/x"]) {
    test.serial(`a request to ${path} that crashes each target that runs it is sent to few targets`, async t => {
        const fleet = await PlatformFleet.start({ plainCount: 3, plains: { deadlyBody: DEADLY_BODY, stepMs: 40 } });
        t.teardown(() => fleet.close());
        const { crashMs, laterSends, later, served } = await playDeadlyRequest(
            fleet,
            instance => fleet.call(instance, path, {}, DEADLY_BODY),
            // Sound requests have the same path and caller, and some the same body as well.
            (instance, index) => fleet.call(instance, path, {}, `sound-${index % 3 === 0 ? "same" : index}`),
        );
        t.log(`crashes after ${crashMs.join(", ")} ms`);
        t.true(laterSends <= MAX_LATER_SENDS, `${laterSends} later sends`);
        t.true(served >= later * 0.9, `${served} of ${later} sound requests served`);
    });
}

for (const eventsBeforeCrash of [0, 1]) {
    const when = eventsBeforeCrash === 0 ? "" : " after its first event";
    test.serial(`a request to a model that crashes each target that runs it${when} is sent to few targets, and its prompt parts go on`, async t => {
        const fleet = await PlatformFleet.start({
            prepaid: 10_000_000,
            modelCount: 4,
            models: { deadlyBody: DEADLY_BODY, eventsBeforeCrash, stepMs: 20 },
        });
        t.teardown(() => fleet.close());
        const { crashMs, laterSends, later, served } = await playDeadlyRequest(
            fleet,
            instance => fleet.ask(instance, 60, { "prompt-prefix": "5a5a:20,beef:20,dead:20" }, DEADLY_BODY),
            (instance, index) => fleet.ask(instance, 60, { "prompt-prefix": `5a5a:20,beef:20,c${index}:20` }),
        );
        t.log(`crashes after ${crashMs.join(", ")} ms`);
        t.true(laterSends <= MAX_LATER_SENDS, `${laterSends} later sends`);
        t.true(served >= later * 0.9, `${served} of ${later} sound requests served`);
    });
}
