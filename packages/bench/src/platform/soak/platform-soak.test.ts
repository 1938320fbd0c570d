import test, { type ExecutionContext } from "ava";
import { type PlatformSeedResult, playPlatformScenario, playPlatformSeed } from "./play-platform-seed.js";
import { PLATFORM_REGRESSIONS } from "./regressions.js";

/** A schedule takes about half a minute. */
const TIMEOUT_MS = 120_000;

/** A short run, with a limit of a target and two cuts of instances from targets in the last one; `npm run soak -- --fleet platform` plays more. */
const SEEDS = [1, 2, 21, 201];

/** Seeds that broke a promise by hand and are not traced; see KNOWN-RED.txt. */
const FOUND_SEEDS = [316, 319, 324, 328, 330, 337, 341, 344, 348];

const assertKept = (t: ExecutionContext, { schedule, verdict }: PlatformSeedResult): void => {
    t.true(verdict.ok, JSON.stringify({ violations: verdict.violations, schedule }));
    t.log(schedule.map(entry => entry.fault.kind).join(" + "), JSON.stringify(verdict.figures));
};

for (const seed of [...SEEDS, ...FOUND_SEEDS]) {
    test.serial(`random faults together on the platform, seed ${seed}`, async t => {
        t.timeout(TIMEOUT_MS);
        assertKept(t, await playPlatformSeed(seed));
    });
}

for (const { title, scenario } of PLATFORM_REGRESSIONS) {
    test.serial(title, async t => {
        t.timeout(TIMEOUT_MS);
        assertKept(t, await playPlatformScenario(scenario));
    });
}
