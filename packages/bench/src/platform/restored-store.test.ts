import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { PlatformFleet, type PlatformFleetOptions } from "./platform-fleet.js";
import { askServed, findOwner, TOKENS_EACH } from "./spend-budget.js";

const PREPAID = 20_000;

/** Time after the start in which the budget's record is in each copy of the store, in milliseconds. */
const SETTLED_MS = 12_000;

/** Time from a restore to the next one, and the greatest age of a copy at a restore, in milliseconds. */
const BETWEEN_RESTORES_MS = 2_000;
const MAX_COPY_AGE_MS = 7_000;

/** Use before a copy that is longer than what a ceiling is ahead, and the pause between its requests, in milliseconds. */
const SLOW_USE_MS = 25_000;
const SLOW_PAUSE_MS = 200;

/** Time after the removal of a target's entry in which it may still get requests, in milliseconds. */
const REMOVAL_MS = 1_000;

const start = async (t: ExecutionContext, opts: PlatformFleetOptions = {}): Promise<PlatformFleet> => {
    const fleet = await PlatformFleet.start({ prepaid: PREPAID, ...opts });
    t.teardown(() => fleet.close());
    await sleep(SETTLED_MS);
    return fleet;
};

const comeBack = (fleet: PlatformFleet, copy: ReturnType<PlatformFleet["store"]["items"]["copy"]>): void => {
    fleet.store.cutConnections();
    fleet.store.restore(copy);
    fleet.writeAgain();
};

test.serial("the owner of a budget is killed just after the store came back from an older copy", async t => {
    const fleet = await start(t);
    const early = await askServed(fleet, fleet.instances, 20);
    const copy = fleet.store.items.copy();
    const late = await askServed(fleet, fleet.instances, 80);
    const owner = await findOwner(fleet);
    comeBack(fleet, copy);
    owner?.process.kill("SIGKILL");
    const left = fleet.instances.filter(instance => instance !== owner);
    const after = await askServed(fleet, left, PREPAID / TOKENS_EACH);
    t.log(`${early + late} requests before, ${after} after`);
    t.is(early + late, 100);
    t.true((early + late + after) * TOKENS_EACH <= PREPAID, `${early + late + after} requests served`);
});

test.serial("the store comes back from an older copy, and the whole budget can be used", async t => {
    const fleet = await start(t);
    const early = await askServed(fleet, fleet.instances, 20);
    const copy = fleet.store.items.copy();
    const late = await askServed(fleet, fleet.instances, 80);
    comeBack(fleet, copy);
    const after = await askServed(fleet, fleet.instances, PREPAID / TOKENS_EACH);
    t.is((early + late + after) * TOKENS_EACH, PREPAID);
});

/** Asks for a time, and then on until some instance owns the budget or the time for the next restore has come. */
const askUntilOwned = async (fleet: PlatformFleet, latestAtMs: number): Promise<number> => {
    let served = await askServed(fleet, fleet.instances, PREPAID, performance.now() + BETWEEN_RESTORES_MS);
    while (performance.now() < latestAtMs && await findOwner(fleet) === undefined) {
        served += await askServed(fleet, fleet.instances, PREPAID, performance.now() + 200);
    }
    return served;
};

/** Whether each instance serves a request that needs no budget. */
const areAllServing = async (fleet: PlatformFleet): Promise<boolean> => {
    const answers = await Promise.all(fleet.instances.map(instance => fleet.call(instance, "/plain/x")));
    return answers.every(answer => answer.status === 200);
};

/** Asks now and then for longer than the use that a ceiling is ahead. */
const askSlowly = async (fleet: PlatformFleet): Promise<number> => {
    const endsAtMs = performance.now() + SLOW_USE_MS;
    let served = 0;
    while (performance.now() < endsAtMs) {
        served += await askServed(fleet, fleet.instances, 1);
        await sleep(SLOW_PAUSE_MS);
    }
    return served;
};

// What was used between two restores is in neither copy.
test.serial("the store comes back from an older copy twice, and the whole budget can be used", async t => {
    const fleet = await start(t);
    const early = await askServed(fleet, fleet.instances, 20);
    const copy = fleet.store.items.copy();
    const late = await askServed(fleet, fleet.instances, 40);
    comeBack(fleet, copy);
    const between = await askServed(fleet, fleet.instances, PREPAID, performance.now() + BETWEEN_RESTORES_MS);
    comeBack(fleet, copy);
    const after = await askServed(fleet, fleet.instances, PREPAID / TOKENS_EACH);
    t.log(`${early + late} requests before, ${between} between, ${after} after`);
    t.true(between > 0);
    t.is((early + late + between + after) * TOKENS_EACH, PREPAID);
    t.true(await areAllServing(fleet));
});

// What was used between two restores is in neither copy, and its owner is gone.
test.serial("the store comes back from an older copy twice, and the owner of the budget is killed each time", async t => {
    const prepaid = 2 * PREPAID;
    const fleet = await start(t, { prepaid });
    const loseOwner = async (): Promise<boolean> => {
        const owner = await findOwner(fleet);
        comeBack(fleet, copy);
        owner?.process.kill("SIGKILL");
        await owner?.process.exited;
        if (owner !== undefined) {
            fleet.spawn(owner);
        }
        return owner !== undefined;
    };
    const early = await askSlowly(fleet);
    const copy = fleet.store.items.copy();
    const copiedAtMs = performance.now();
    const late = await askServed(fleet, fleet.instances, 40);
    const isFirstLost = await loseOwner();
    const between = await askUntilOwned(fleet, copiedAtMs + MAX_COPY_AGE_MS);
    const copyAgeMs = performance.now() - copiedAtMs;
    const isSecondLost = await loseOwner();
    const after = await askServed(fleet, fleet.instances, prepaid / TOKENS_EACH);
    t.log(`${early + late} requests before, ${between} between, ${after} after; copy of ${Math.round(copyAgeMs)} ms`);
    t.log(`owner lost: ${isFirstLost}, ${isSecondLost}`);
    t.true(isFirstLost);
    t.true((early + late + between + after) * TOKENS_EACH <= prepaid);
    t.true(after > 0);
    t.true(await areAllServing(fleet));
});

// An entry that came back with the first restore is in no way newer after the second one.
test.serial("a removed target gets nothing after the store came back from an older copy twice", async t => {
    const fleet = await start(t, { prepaid: 1_000_000, modelCount: 3 });
    const served = await askServed(fleet, fleet.instances, 30);
    const copy = fleet.store.items.copy();
    const [removed] = fleet.models.toSorted((a, b) => b.ran.length - a.ran.length);
    const removedAtMs = performance.now();
    fleet.removeTarget(fleet.models.findIndex(target => target === removed));
    const askOn = async (ms: number): Promise<number> =>
        await askServed(fleet, fleet.instances, PREPAID, performance.now() + ms);
    let after = await askOn(BETWEEN_RESTORES_MS);
    comeBack(fleet, copy);
    after += await askOn(BETWEEN_RESTORES_MS);
    const later = fleet.store.items.copy();
    after += await askOn(BETWEEN_RESTORES_MS);
    comeBack(fleet, later);
    after += await askOn(3 * BETWEEN_RESTORES_MS);
    const late = removed?.ran.filter(run => run.atMs > removedAtMs + REMOVAL_MS);
    t.log(
        `${served} requests before, ${after} after, ${fleet.models.map(({ ran }) => ran.length).join(" ")} by target`,
    );
    t.true((removed?.ran.length ?? 0) > 0);
    t.true(later.items.has(`servers/${removed?.id}`));
    t.deepEqual(late, []);
    t.true(after > served);
    t.true(await areAllServing(fleet));
});
