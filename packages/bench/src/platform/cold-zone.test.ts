import test, { type ExecutionContext } from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { askInTurn } from "./ask-in-turn.js";
import { PlatformFleet } from "./platform-fleet.js";

const KEY = "op/evacuate/zone-a";

const COLD_PER_S = 4;
const COLD_MS = 16_000;

/** Most requests in any second: one and a half times the rate, and five. */
const MAX_IN_SECOND = 1.5 * COLD_PER_S + 5;

const MS_PER_S = 1_000;

/** Time after which an evacuation and its end are known everywhere, in milliseconds. */
const KNOWN_MS = 5_000;

/** Time after the removal of the key from which cold targets are used, in milliseconds. */
const USED_MS = 1_000;

/**
 * Share of their rate that cold targets get at least. With one of three instances killed, a third of the rate goes unused, and a new keeper
 * takes up to 4.5 s.
 */
const MIN_SHARE = 0.25;

/** 100 requests a second, far above what the cold targets take. */
const ASK_INTERVAL_MS = 10;

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

const start = async (t: ExecutionContext, modelZones: readonly string[]): Promise<PlatformFleet> => {
    const fleet = await PlatformFleet.start({ prepaid: 10_000_000, modelZones, modelCount: modelZones.length });
    t.teardown(() => fleet.close());
    fleet.apply(2, 10_000_000, { modelCold: { coldPerS: COLD_PER_S, coldStartS: 3 } });
    return fleet;
};

/** Takes the evacuation of zone-a back, where three targets are cold then, and says so in their entries while they are. */
const returnCold = async (fleet: PlatformFleet): Promise<void> => {
    const coldUntilMs = performance.now() + COLD_MS;
    fleet.models.slice(0, 3).forEach(target => target.coldUntilMs = coldUntilMs);
    fleet.writeAgain();
    await sleep(KNOWN_MS / 2);
    fleet.store.remove(KEY);
    while (performance.now() < coldUntilMs) {
        fleet.writeAgain();
        await sleep(MS_PER_S);
    }
    fleet.writeAgain();
};

const getTimes = (fleet: PlatformFleet, model: number, fromMs: number, toMs: number): readonly number[] =>
    fleet.models[model]?.ran.map(({ atMs }) => atMs).filter(atMs => atMs >= fromMs && atMs < toMs) ?? [];

const getMaxInSecond = (times: readonly number[]): number =>
    Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + MS_PER_S).length));

const assertWithinRate = (t: ExecutionContext, fleet: PlatformFleet, fromMs: number): void => {
    for (const model of [0, 1, 2]) {
        const times = getTimes(fleet, model, fromMs, fromMs + COLD_MS);
        const most = getMaxInSecond(times);
        t.true(most <= MAX_IN_SECOND, `${most} requests in a second to cold target ${model}`);
        const usedMs = COLD_MS - KNOWN_MS / 2 - USED_MS;
        t.true(
            times.length >= MIN_SHARE * COLD_PER_S * usedMs / MS_PER_S,
            `${times.length} requests to cold target ${model}`,
        );
    }
};

// All targets of the zone are cold when its evacuation ends, and a burst would crash them.
test.serial("a zone that returns cold beside a warm one gets no more than its targets take, then its full share", async t => {
    const fleet = await start(t, ["zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-b"]);
    fleet.store.put(KEY, {});
    await sleep(KNOWN_MS);
    const coldFromMs = performance.now();
    const [answers] = await Promise.all([
        askInTurn(fleet, COLD_MS + KNOWN_MS, ASK_INTERVAL_MS),
        returnCold(fleet),
    ]);
    t.deepEqual(answers.filter(({ status }) => status !== HTTP_OK), []);
    assertWithinRate(t, fleet, coldFromMs);
    const warmFromMs = coldFromMs + COLD_MS + KNOWN_MS / 2;
    const warm = [0, 1, 2].flatMap(model => getTimes(fleet, model, warmFromMs, Number.POSITIVE_INFINITY));
    t.true(getMaxInSecond(warm) > 3 * COLD_PER_S, `${getMaxInSecond(warm)} requests in a second after the cold time`);
});

// The instance that hands out the sends to a cold target ends, and another one takes its place.
test.serial("the only zone of a service returns cold, and an instance is killed meanwhile: the rest is refused as not run", async t => {
    const fleet = await start(t, ["zone-a", "zone-a", "zone-a"]);
    fleet.store.put(KEY, {});
    await sleep(KNOWN_MS);
    const coldFromMs = performance.now();
    const killed = fleet.instances[2];
    const kill = async (): Promise<void> => {
        await sleep(COLD_MS / 2);
        killed?.process.kill("SIGKILL");
    };
    const [answers] = await Promise.all([askInTurn(fleet, COLD_MS, ASK_INTERVAL_MS), returnCold(fleet), kill()]);
    assertWithinRate(t, fleet, coldFromMs);
    const refused = answers.filter(({ status }) => status !== HTTP_OK && status !== 0);
    t.true(refused.length > 0);
    t.true(refused.every(({ status, retryAfterS = 0 }) => status === HTTP_UNAVAILABLE && retryAfterS > 0));
});
