import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type BudgetFleet, type BudgetInstance, createFleet, kill, startInstance } from "./fixtures/budget-fleet.js";

const INSTANCES = 5;
const STEPS = 250;
const PREPAID = 6_000;
const SEEDS = 60;

/** Runs the scenario of one seed; returns the total of used tokens. */
const runSeed = async (seed: number): Promise<number> => {
    const random = xoroshiro128plus(seed);
    const next = (count: number): number => uniformInt(random, 0, count - 1);
    const fleet: BudgetFleet = createFleet(PREPAID, 0);
    const instances = [...Array(INSTANCES).keys()].map(i => startInstance(fleet, `i${i}`, `zone-${i % 3}`));
    const running: Promise<void>[] = [];
    let used = 0;
    const request = async ({ budgets }: BudgetInstance): Promise<void> => {
        const tokens = 50 + next(200);
        const actual = next(tokens + 1);
        if ((await budgets.hold("team", tokens)).kind === "held") {
            used += actual;
            budgets.release("team", tokens - actual);
        }
    };
    const faults: readonly ((at: number) => void)[] = [
        at => instances[at]?.kv.disconnect(),
        at => instances[at]?.kv.reconnect(),
        () => instances.forEach(({ kv }) => kv.disconnect()),
        () => instances.forEach(({ kv }) => kv.reconnect()),
        at => {
            const gone = instances[at];
            if (gone !== undefined) {
                kill(gone);
                instances[at] = startInstance(fleet, gone.hub.self().instance, gone.hub.self().availabilityZone);
            }
        },
        at => {
            const kv = instances[at]?.kv;
            if (kv !== undefined) {
                kv.pickOutcome = call =>
                    call === "write" ? (["lostReply", "late", "lostRequest"] as const)[next(3)] ?? "ok" : "ok";
            }
        },
        at => instances[at] === undefined ? undefined : fleet.network.disconnect(instances[at].hub),
        at => instances[at] === undefined ? undefined : fleet.network.reconnect(instances[at].hub),
        () => {
            instances.forEach((gone, at) => {
                kill(gone);
                instances[at] = startInstance(fleet, gone.hub.self().instance, gone.hub.self().availabilityZone);
            });
        },
    ];
    for (let step = 0; step < STEPS; step++) {
        if (next(12) === 0) {
            faults[next(faults.length)]?.(next(INSTANCES));
        }
        const instance = instances[next(INSTANCES)];
        if (instance !== undefined) {
            running.push(request(instance));
        }
        if (next(3) === 0) {
            await sleep(next(8));
        }
    }
    await Promise.all(running);
    return used;
};

test("under random faults no seed lets more tokens be used than are prepaid", async t => {
    const seeds = [...Array(SEEDS).keys()].map(i => i + 1);
    const results = await Promise.all(seeds.map(async seed => ({ seed, used: await runSeed(seed) })));
    t.deepEqual(results.filter(({ used }) => used > PREPAID), []);
    t.true(results.some(({ used }) => used > 0));
});
