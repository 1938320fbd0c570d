import test from "ava";
import { assertKept, SCHEDULE_TIMEOUT_MS } from "./assert-kept.js";
import { playPlatformScenario, playPlatformSeed } from "./play-platform-seed.js";
import { PLATFORM_REGRESSIONS } from "./regressions.js";

/**
 * A short run, with a limit of a target, cuts of instances from targets, restores of the store beside other faults, and overloaded
 * instances whose helpers are disturbed, then with shared loads, waiting and second sends, and the last two with answers that end in all ways
 * and targets that are killed; `npm run soak -- --fleet platform` plays more.
 */
const SEEDS = [1, 2, 21, 201, 501, 504, 601, 606, 701, 802, 803];

for (const seed of SEEDS) {
    test.serial(`random faults together on the platform, seed ${seed}`, async t => {
        t.timeout(SCHEDULE_TIMEOUT_MS);
        assertKept(t, await playPlatformSeed(seed));
    });
}

for (const { title, scenario } of PLATFORM_REGRESSIONS) {
    test.serial(title, async t => {
        t.timeout(SCHEDULE_TIMEOUT_MS);
        assertKept(t, await playPlatformScenario(scenario));
    });
}
