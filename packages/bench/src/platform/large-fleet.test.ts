import test from "ava";
import { readFile } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import { type CallerAnswer, MODEL_EVENTS, PlatformFleet, type PlatformInstance } from "./platform-fleet.js";

/** More than the instances that the users' sites run today. */
const COUNT = 20;

const KILLED = 3;
const CALLERS = 12;
const PAUSE_MS = 20;

/** Time after a kill in which the others learn of it; `contactMs` of the users' sites. */
const CONTACT_MS = 3_000;

/** Time between the stops of two instances, in milliseconds. */
const BETWEEN_STOPS_MS = 500;

const KIB_PER_MIB = 1_024;

const readMemoryMib = async ({ process }: PlatformInstance): Promise<number> => {
    const status = await readFile(`/proc/${process.pid}/status`, "latin1");
    return Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1]) / KIB_PER_MIB;
};

const isWhole = ({ status, body }: CallerAnswer): boolean => status === 200 && body.includes(`id: ${MODEL_EVENTS}\n`);

/** Callers that ask the directory of an instance and send to an address that it tells them. */
const startCallers = (fleet: PlatformFleet, getLive: () => readonly PlatformInstance[]) => {
    const answers: CallerAnswer[] = [];
    let isOpen = true;
    const run = async (at: number): Promise<void> => {
        for (let turn = at; isOpen; turn++) {
            const live = getLive();
            const directory = live[turn % live.length];
            const addresses = directory === undefined ? [] : await fleet.resolve(directory);
            const address = addresses[turn % addresses.length];
            const instance = fleet.instances.find(({ callers }) => callers === address);
            if (instance !== undefined) {
                answers.push(await fleet.ask(instance, 60, { "prompt-prefix": `a${turn}:20,b${turn}:20` }));
            }
            await sleep(PAUSE_MS);
        }
    };
    const running = Array.from({ length: CALLERS }, (_, at) => run(at));
    return {
        takeAnswers: (): readonly CallerAnswer[] => answers.splice(0),
        end: async (): Promise<void> => {
            isOpen = false;
            await Promise.all(running);
        },
    };
};

const countStatuses = (answers: readonly CallerAnswer[]): string => {
    const statuses = [...new Set(answers.map(({ status }) => status))];
    return statuses.map(status => `${answers.filter(answer => answer.status === status).length} of ${status}`).join(
        ", ",
    );
};

test.serial("twenty instances serve, go on after three are killed, and stop in turn without a lost request", async t => {
    const startedAtMs = performance.now();
    const fleet = await PlatformFleet.start({ count: COUNT, prepaid: 10_000_000, modelCount: 6 });
    t.teardown(() => fleet.close());
    t.log(`ready after ${Math.round(performance.now() - startedAtMs)} ms`);
    for (const instance of fleet.instances) {
        const answer = await fleet.ask(instance, 60);
        t.true(isWhole(answer), `${instance.name}: ${answer.status} ${answer.body}`);
    }
    let live = [...fleet.instances];
    const callers = startCallers(fleet, () => live);
    await sleep(CONTACT_MS);
    const calm = callers.takeAnswers();
    t.log(`calm: ${countStatuses(calm)}`);
    t.true(calm.length > 0 && calm.every(isWhole));
    const memory = await Promise.all(fleet.instances.map(readMemoryMib));
    t.log(
        `${Math.round(memory.reduce((sum, mib) => sum + mib, 0))} MiB, at most ${Math.round(Math.max(...memory))} each`,
    );
    const killed = live.filter((_, at) => at % 7 === 0).slice(0, KILLED);
    live = live.filter(instance => !killed.includes(instance));
    killed.forEach(instance => instance.process.kill("SIGKILL"));
    await sleep(CONTACT_MS);
    t.log(`in the kill: ${countStatuses(callers.takeAnswers())}`);
    await sleep(CONTACT_MS);
    const settled = callers.takeAnswers();
    t.log(`after the kill: ${countStatuses(settled)}`);
    t.true(settled.length > 0 && settled.every(isWhole));
    const stops = [];
    for (const instance of live.slice(1)) {
        live = live.filter(other => other !== instance);
        stops.push(instance.process.stop());
        await sleep(BETWEEN_STOPS_MS);
    }
    const codes = (await Promise.all(stops)).map(({ code }) => code);
    await callers.end();
    const stopping = callers.takeAnswers();
    t.log(`in the stops: ${countStatuses(stopping)}`);
    t.deepEqual(codes, codes.map(() => 0));
    t.true(stopping.length > 0);
    t.deepEqual(stopping.filter(answer => !isWhole(answer)), []);
    for (const instance of live) {
        t.true(isWhole(await fleet.ask(instance, 60)), instance.name);
    }
});
