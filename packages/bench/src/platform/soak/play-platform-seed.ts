import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../faults/random-source.js";
import { PlatformFleet } from "../platform-fleet.js";
import { judgePlatform, type PlatformVerdict } from "./judge-platform.js";
import { runPlatformLoad } from "./platform-load.js";
import { PlatformScheduleRun } from "./platform-schedule-run.js";
import { createPlatformSchedule, type PlatformScheduleEntry } from "./platform-schedule.js";

/** One seed's schedule and what came of it. */
export interface PlatformSeedResult {
    readonly seed: number;
    readonly schedule: readonly PlatformScheduleEntry[];
    readonly verdict: PlatformVerdict;
}

/** Prepaid tokens: more than all calls take, about half of that, or a tenth. */
const PREPAID = [1_000_000, 30_000, 6_000] as const;

/** Time in which a fleet serves all again once the faults are over, in milliseconds; `recoveryS` of the users' sites. */
const RECOVERY_MS = 12_000;
const ASK_AGAIN_MS = 200;

/** Version of the desired state that is written last, higher than any of a schedule. */
const LAST_VERSION = 100;

/** Plays the schedule of a seed under load on a fleet of its own and judges. */
export const playPlatformSeed = async (seed: number): Promise<PlatformSeedResult> => {
    const random = new RandomSource(seed);
    const count = random.int(3, 6);
    const prepaid = random.pick(PREPAID);
    const schedule = createPlatformSchedule(random, count);
    const fleet = await PlatformFleet.start({ count, prepaid, withStoreProxies: true });
    try {
        const run = new PlatformScheduleRun(fleet, prepaid);
        const ended = new AbortController();
        const load = runPlatformLoad({ fleet, seed, ended: ended.signal });
        await run.run(schedule);
        ended.abort();
        const calls = await load;
        // Enough for the checks of recovery, which come after the load's calls were counted.
        fleet.apply(LAST_VERSION, run.prepaid + 1_000_000);
        const notRecovered = await findNotRecovered(fleet);
        const { exitCodes } = run;
        return {
            seed,
            schedule,
            verdict: judgePlatform({ fleet, calls, prepaid: run.prepaid, exitCodes, notRecovered }),
        };
    }
    finally {
        await fleet.close();
    }
};

const findNotRecovered = async (fleet: PlatformFleet): Promise<readonly string[]> => {
    const endsAtMs = performance.now() + RECOVERY_MS;
    const failed = await Promise.all(fleet.instances.map(async instance => {
        const serves = async (): Promise<boolean> => {
            const answers = [
                await fleet.ask(instance, 10),
                await fleet.call(instance, "/once/x"),
                await fleet.call(instance, "/new/x"),
            ];
            return answers.every(answer => answer.status === 200);
        };
        while (performance.now() < endsAtMs) {
            if (await serves()) {
                return [];
            }
            await sleep(ASK_AGAIN_MS);
        }
        return [instance.name];
    }));
    return failed.flat();
};
