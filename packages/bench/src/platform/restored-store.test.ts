import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { MODEL_TOKENS, PlatformFleet, type PlatformInstance } from "./platform-fleet.js";

const PREPAID = 20_000;
const PROMPT_TOKENS = 70;
const TOKENS_EACH = PROMPT_TOKENS + MODEL_TOKENS;

/** Time after the start in which the budget's record is in each copy of the store, in milliseconds. */
const SETTLED_MS = 12_000;

/** Time in which an instance that was lost has a successor, and a ceiling is in each copy, in milliseconds. */
const MAX_PAUSE_MS = 12_000;

const start = async (t: ExecutionContext): Promise<PlatformFleet> => {
    const fleet = await PlatformFleet.start({ prepaid: PREPAID });
    t.teardown(() => fleet.close());
    await sleep(SETTLED_MS);
    return fleet;
};

/** Asks instances in turn until so many requests are served, or none is for a time. */
const ask = async (fleet: PlatformFleet, instances: readonly PlatformInstance[], count: number): Promise<number> => {
    let served = 0;
    let lastServedAtMs = performance.now();
    for (let turn = 0; served < count && performance.now() - lastServedAtMs < MAX_PAUSE_MS; turn++) {
        const instance = instances[turn % instances.length];
        const answer = instance === undefined ? undefined : await fleet.ask(instance, PROMPT_TOKENS);
        if (answer?.status === 200) {
            served += 1;
            lastServedAtMs = performance.now();
        }
        await sleep(answer?.status === 200 ? 5 : 50);
    }
    return served;
};

const findOwner = async (fleet: PlatformFleet): Promise<PlatformInstance | undefined> => {
    for (const instance of fleet.instances) {
        const state = await (await request(`http://${instance.metrics}/state`)).body.json() as {
            readonly budgets: readonly unknown[];
        };
        if (state.budgets.length > 0) {
            return instance;
        }
    }
    return undefined;
};

const comeBack = (fleet: PlatformFleet, copy: ReturnType<PlatformFleet["store"]["items"]["copy"]>): void => {
    fleet.store.cutConnections();
    fleet.store.restore(copy);
    fleet.writeAgain();
};

test.serial("the owner of a budget is killed just after the store came back from an older copy", async t => {
    const fleet = await start(t);
    const early = await ask(fleet, fleet.instances, 20);
    const copy = fleet.store.items.copy();
    const late = await ask(fleet, fleet.instances, 80);
    const owner = await findOwner(fleet);
    comeBack(fleet, copy);
    owner?.process.kill("SIGKILL");
    const left = fleet.instances.filter(instance => instance !== owner);
    const after = await ask(fleet, left, PREPAID / TOKENS_EACH);
    t.log(`${early + late} requests before, ${after} after`);
    t.is(early + late, 100);
    t.true((early + late + after) * TOKENS_EACH <= PREPAID, `${early + late + after} requests served`);
});

test.serial("the store comes back from an older copy, and the whole budget can be used", async t => {
    const fleet = await start(t);
    const early = await ask(fleet, fleet.instances, 20);
    const copy = fleet.store.items.copy();
    const late = await ask(fleet, fleet.instances, 80);
    comeBack(fleet, copy);
    const after = await ask(fleet, fleet.instances, PREPAID / TOKENS_EACH);
    t.is((early + late + after) * TOKENS_EACH, PREPAID);
});
