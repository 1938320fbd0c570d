import test from "ava";
import { assertKept, SCHEDULE_TIMEOUT_MS } from "./assert-kept.js";
import { playPlatformSeed } from "./play-platform-seed.js";

/** Seeds that broke a promise by hand. */
const FOUND_SEEDS = [316, 319, 324, 328, 330, 337, 341, 344, 348, 404, 801, 804, 811, 815, 816, 822, 840];

for (const seed of FOUND_SEEDS) {
    test.serial(`random faults together on the platform, seed ${seed}`, async t => {
        t.timeout(SCHEDULE_TIMEOUT_MS);
        assertKept(t, await playPlatformSeed(seed));
    });
}
