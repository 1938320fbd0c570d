import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { askInTurn } from "./ask-in-turn.js";
import { PlatformFleet } from "./platform-fleet.js";

const KEY = "op/evacuate/zone-a";

/** Time after the acknowledgement of an evacuation within which requests may still reach its zone, in milliseconds. */
const EVACUATE_MS = 5_000;

/** Time by which an unstable KV service extends it, in milliseconds. */
const UNSTABLE_MS = 6_000;

const ASK_INTERVAL_MS = 25;

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Two model targets in zone-a and one in zone-b. */
const start = async (t: ExecutionContext): Promise<PlatformFleet> => {
    const fleet = await PlatformFleet.start({
        prepaid: 10_000_000,
        modelZones: ["zone-a", "zone-a", "zone-b"],
        modelCount: 3,
        withProxies: true,
    });
    t.teardown(() => fleet.close());
    return fleet;
};

/** Requests that targets of zone-a got from a time on. */
const countIn = (fleet: PlatformFleet, fromMs: number): number =>
    fleet.models.slice(0, 2).flatMap(({ ran }) => ran).filter(({ atMs }) => atMs >= fromMs).length;

const assertServed = async (t: ExecutionContext, fleet: PlatformFleet, ms: number): Promise<void> => {
    const answers = await askInTurn(fleet, ms, ASK_INTERVAL_MS);
    t.deepEqual(answers.filter(({ status }) => status !== HTTP_OK), []);
};

// An instance that does not reach the KV service, or that starts, may not know of the evacuation.
test.serial("an evacuated zone gets nothing, from an instance without the KV service or a new one either, until the key is removed", async t => {
    const fleet = await start(t);
    const [cut] = fleet.storeProxies;
    const restarted = fleet.instances[1];
    if (cut === undefined || restarted === undefined) {
        t.fail("no instances");
        return;
    }
    await assertServed(t, fleet, 1_000);
    t.true(countIn(fleet, 0) > 0);
    await cut.setFaults({ mode: "halfOpen" });
    fleet.store.put(KEY, {});
    const evacuatedAtMs = performance.now();
    await askInTurn(fleet, EVACUATE_MS, ASK_INTERVAL_MS);
    await assertServed(t, fleet, 1_000);
    restarted.process.kill("SIGKILL");
    await restarted.process.exited;
    await fleet.restart(restarted);
    await assertServed(t, fleet, 1_000);
    t.is(countIn(fleet, evacuatedAtMs + EVACUATE_MS), 0);
    await cut.setFaults({ mode: "pass" });
    await askInTurn(fleet, 1_000, ASK_INTERVAL_MS);
    t.is(countIn(fleet, evacuatedAtMs + EVACUATE_MS), 0);
    fleet.store.remove(KEY);
    await askInTurn(fleet, EVACUATE_MS, ASK_INTERVAL_MS);
    const freeFromMs = performance.now();
    await assertServed(t, fleet, 1_000);
    t.true(countIn(fleet, freeFromMs) > 0);
});

// A copy from before the evacuation does not have its key.
test.serial("an evacuated zone gets nothing while a restore has lost the key and operators have not written it again", async t => {
    const fleet = await start(t);
    const copy = fleet.store.items.copy();
    fleet.store.put(KEY, {});
    const evacuatedAtMs = performance.now();
    await askInTurn(fleet, EVACUATE_MS, ASK_INTERVAL_MS);
    fleet.store.cutConnections();
    fleet.store.restore(copy);
    fleet.writeAgain();
    await askInTurn(fleet, UNSTABLE_MS, ASK_INTERVAL_MS);
    fleet.store.put(KEY, {});
    await assertServed(t, fleet, 2_000);
    t.is(countIn(fleet, evacuatedAtMs + EVACUATE_MS), 0);
});

test.serial("requests of a service whose targets are all in evacuated zones are refused at once as not run", async t => {
    const fleet = await start(t);
    ["zone-a", "zone-b"].forEach(zone => fleet.store.put(`op/evacuate/${zone}`, {}));
    await sleep(EVACUATE_MS);
    const sentAtMs = performance.now();
    const answers = await Promise.all(fleet.instances.map(instance => fleet.ask(instance, 60)));
    const tookMs = performance.now() - sentAtMs;
    t.true(answers.every(({ status, retryAfterS = 0 }) => status === HTTP_UNAVAILABLE && retryAfterS > 0));
    t.true(tookMs < 1_000, `${tookMs} ms`);
    t.is(fleet.models.flatMap(({ ran }) => ran).length, 0);
});
