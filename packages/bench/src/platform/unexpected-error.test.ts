import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { type CallerAnswer, MODEL_EVENTS, PlatformFleet, type PlatformInstance } from "./platform-fleet.js";

/** Calls in flight at the error, in turn to each route. */
const CALLS = 24;

/** Time for a plain answer or for each event of a stream, in milliseconds; longer than all calls take to reach their targets on a busy machine. */
const STEP_MS = 600;

const POLL_MS = 5;

const STOP_WITHIN_S = 6;

const ERRORS = [
    { title: "an error that nothing handles", module: "throw-on-signal.js", exit: "thrown on a signal" },
    { title: "a rejection that nothing handles", module: "reject-on-signal.js", exit: "rejected on a signal" },
] as const;

const callInTurn = async (fleet: PlatformFleet, instance: PlatformInstance, at: number): Promise<CallerAnswer> => {
    switch (at % 4) {
        case 0:
            return await fleet.call(instance, "/plain/x");
        case 1:
            return await fleet.call(instance, "/once/x");
        case 2:
            return await fleet.call(instance, "/fixed/x", { "token-counts": "10,30", "model": "m" });
        default:
            return await fleet.ask(instance, 10);
    }
};

const isWhole = ({ status, body }: CallerAnswer): boolean =>
    status === 200 && (!body.includes("data:") || body.includes(`id: ${MODEL_EVENTS}\n`));

for (const { title, module, exit } of ERRORS) {
    // Guards against kept connections that close without an answer, as the whole process ends with one error.
    test.serial(`requests that were passed on are answered after ${title}`, async t => {
        const lines: string[] = [];
        const fleet = await PlatformFleet.start({
            count: 2,
            stopWithinS: STOP_WITHIN_S,
            plains: { stepMs: STEP_MS },
            models: { stepMs: STEP_MS },
            modules: [new URL(module, import.meta.url).href],
            onLine: (_instance, line) => lines.push(line),
        });
        t.teardown(() => fleet.close());
        const [instance] = fleet.instances;
        if (instance === undefined) {
            return t.fail();
        }
        const call = (): readonly Promise<CallerAnswer>[] =>
            [...Array(CALLS).keys()].map(at => callInTurn(fleet, instance, at));
        const before = await Promise.all(call());
        t.true(before.every(isWhole), JSON.stringify(before.filter(answer => !isWhole(answer))));
        const ranBefore = fleet.ran.length;
        let answered = 0;
        const calls = call().map(answer => answer.finally(() => answered += 1));
        while (fleet.ran.length - ranBefore < CALLS && answered === 0) {
            await sleep(POLL_MS);
        }
        t.is(fleet.ran.length - ranBefore, CALLS);
        t.is(answered, 0);
        instance.process.kill("SIGUSR2");
        const answers = await Promise.all(calls);
        t.log(`in flight ${CALLS}, whole ${answers.filter(isWhole).length}`);
        t.true(answers.every(isWhole), JSON.stringify(answers.filter(answer => !isWhole(answer))));
        // The instance has lost track of what the error ended, so that it starts anew.
        t.is((await instance.process.exited).code, 1);
        t.true(lines.some(line => line.includes("unexpected error") && line.includes(exit)));
    });
}
