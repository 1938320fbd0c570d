import { createWriteStream } from "node:fs";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../faults/random-source.js";
import { PlatformFleet } from "../platform-fleet.js";
import { FaultTimeline, STORE_PART } from "./fault-timeline.js";
import { ForwardLog } from "./forward-log.js";
import { HandoffLog } from "./handoff-log.js";
import { countHandedOff } from "./handoff-probe.js";
import { judgePlatform, type PlatformVerdict } from "./judge-platform.js";
import { runPlatformLoad } from "./platform-load.js";
import { PlatformScheduleRun } from "./platform-schedule-run.js";
import {
    createCutOffs,
    createOverloads,
    createPlatformSchedule,
    createRestores,
    createStrays,
    createTargetChanges,
    createTargetKills,
    type PlatformScheduleEntry,
} from "./platform-schedule.js";
import { probeReadiness } from "./readiness-probe.js";
import { watchStalls } from "./stall-watch.js";

/** A schedule with the fleet that it is played on. */
export interface PlatformScenario {
    /** Seed of the callers' draws. */
    readonly seed: number;
    readonly count: number;
    /** Callers for each instance. */
    readonly callersEach: number;
    readonly prepaid: number;
    readonly schedule: readonly PlatformScheduleEntry[];
    /** Software versions of the model targets; all the same by default. */
    readonly modelVersions?: readonly string[];
    /** Folder for the instances' lines and for what broke a promise; none by default. */
    readonly logFolder?: string | undefined;
    /** Further settings of the instances; none by default. */
    readonly settings?: Readonly<Record<string, unknown>>;
    /** Whether callers also use HTTP/1.0, and targets also answer without framing and end streams early; false by default. */
    readonly variesEnds?: boolean;
    /** Modules that are loaded into each instance before its main one; none by default. */
    readonly modules?: readonly string[];
}

/** What varies between runs of the same seed. */
export interface PlatformSeedOptions {
    /** Instances; drawn by default. */
    readonly instances?: number | undefined;
    readonly logFolder?: string | undefined;
}

/** One seed's schedule and what came of it. */
export interface PlatformSeedResult {
    readonly seed: number;
    readonly schedule: readonly PlatformScheduleEntry[];
    readonly verdict: PlatformVerdict;
}

/** Prepaid tokens: more than all calls take, about half of that, or a tenth. */
const PREPAID = [1_000_000, 30_000, 6_000] as const;

const CALLERS_EACH = [4, 8, 16] as const;

/** Software versions of the model targets. */
const MODEL_VERSIONS: readonly (readonly string[])[] = [[], ["v1", "v2"], ["v1", "v1", "v2", "v2"]];

/** Earlier seeds play what they played when they were found. */
const FIRST_SEED_WITH_RESTORES = 501;
const FIRST_SEED_WITH_OVERLOADS = 601;
const FIRST_SEED_WITH_LOAD_SETTINGS = 701;
const FIRST_SEED_WITH_ENDS = 801;

/** Modules of the instances: none, or one that has the first instance hand off all connections. */
const MODULES: readonly (readonly string[])[] = [[], [new URL("../hand-off-always.js", import.meta.url).href]];

/** Settings that have instances share the loads of targets and decide by them. */
const LOAD_SETTINGS = {
    urgency: { isEnabled: true },
    targetReports: { intervalMs: 500 },
    placement: { usesReports: true },
    waiting: { isEnabled: true },
    secondSends: { share: 0.1 },
} as const;

/** Time to live of addresses, in seconds; as deployed. */
const ADDRESS_TTL_S = 2;

/** Time in which a fleet serves all again once the faults are over, in milliseconds; `recoveryS` of the users' sites. */
const RECOVERY_MS = 12_000;
const ASK_AGAIN_MS = 200;

/** Time for which callers go on after the last fault, in milliseconds. */
const CALM_MS = 500;

/** Version of the desired state that is written last, higher than any of a schedule. */
const LAST_VERSION = 1_000;

/** Plays the schedule of a seed under load on a fleet of its own and judges. */
export const playPlatformSeed = async (seed: number, opts: PlatformSeedOptions = {}): Promise<PlatformSeedResult> => {
    const random = new RandomSource(seed);
    const drawn = random.int(3, 6);
    const count = opts.instances ?? drawn;
    const prepaid = random.pick(PREPAID);
    const drawnFaults = createPlatformSchedule(random, count);
    const callersEach = random.pick(CALLERS_EACH);
    // Drawn last, so that what was drawn before them stays the same for a seed.
    const cutOffs = createCutOffs(random, count);
    const modelVersions = random.pick(MODEL_VERSIONS);
    const added = seed < FIRST_SEED_WITH_RESTORES ? [] : [...createRestores(random, count), ...createStrays(random)];
    const overloads = seed < FIRST_SEED_WITH_OVERLOADS
        ? []
        : [...createOverloads(random, count), ...createTargetChanges(random)];
    const variesEnds = seed >= FIRST_SEED_WITH_ENDS;
    const kills = variesEnds ? createTargetKills(random, count) : [];
    const modules = variesEnds ? random.pick(MODULES) : [];
    const schedule = [...drawnFaults, ...cutOffs, ...added, ...overloads, ...kills]
        .toSorted((a, b) => a.startMs - b.startMs);
    return await playPlatformScenario({
        seed,
        count,
        callersEach,
        prepaid,
        schedule,
        modelVersions,
        logFolder: opts.logFolder,
        settings: seed < FIRST_SEED_WITH_LOAD_SETTINGS ? {} : LOAD_SETTINGS,
        variesEnds,
        modules,
    });
};

/** Plays a schedule under load on a fleet of its own and judges. */
export const playPlatformScenario = async (scenario: PlatformScenario): Promise<PlatformSeedResult> => {
    const { seed, count, callersEach, prepaid, schedule, modelVersions = [], logFolder, settings = {} } = scenario;
    const { variesEnds = false, modules = [] } = scenario;
    const log = logFolder === undefined ? undefined : createWriteStream(join(logFolder, `seed-${seed}.log`));
    const forwards = new ForwardLog();
    const handoffs = new HandoffLog();
    const onLine = (instance: string, line: string): void => {
        forwards.read(line);
        handoffs.read(instance, line);
        if (log?.writable === true) {
            log.write(`${Math.round(performance.now())} ${instance} ${line}\n`);
        }
    };
    const fleet = await PlatformFleet.start({
        count,
        prepaid,
        withProxies: true,
        // An end in order that the rig makes of a reset would look like the end of an answer.
        passesResets: variesEnds,
        modules,
        modelVersions,
        cuttable: schedule.some(({ fault }) => fault.kind === "cutOff") ? count - 1 : 0,
        withPeerLinks: schedule.some(({ fault }) => fault.kind === "helperFault" && fault.how === "cutLink"),
        addressTtlS: ADDRESS_TTL_S,
        settings,
        onLine,
    });
    try {
        const timeline = new FaultTimeline();
        const parts = [...fleet.instances.map(({ name }) => name), ...fleet.targets.map(({ id }) => id), STORE_PART];
        const endStallWatch = watchStalls(timeline, parts);
        const run = new PlatformScheduleRun({ fleet, timeline, handoffs, prepaid });
        run.writeDocument();
        const ended = new AbortController();
        const overloaded = schedule.flatMap(({ fault }) => fault.kind === "overload" ? [fault.instance] : []);
        const staysAt = fleet.instances.filter((_, at) => overloaded.includes(at));
        const load = runPlatformLoad({ fleet, seed, callersEach, staysAt, variesEnds, ended: ended.signal });
        const counting = countHandedOff(fleet, ended.signal);
        const probes = probeReadiness(fleet, ended.signal);
        await run.run(schedule);
        await sleep(CALM_MS);
        ended.abort();
        const seen = await load;
        const readiness = await probes;
        const handedOff = await counting;
        // Enough for the checks of recovery, which come after the load's calls were counted.
        fleet.apply(LAST_VERSION, run.prepaid + 1_000_000);
        const notRecovered = await findNotRecovered(fleet);
        const rigStalls = endStallWatch();
        const verdict = judgePlatform({
            fleet,
            timeline,
            rigStalls,
            forwards,
            handoffs,
            handedOff,
            ...seen,
            readiness,
            prepaid: run.prepaid,
            notRecovered,
        });
        if (logFolder !== undefined && !verdict.ok) {
            const evidence = { scenario, traces: verdict.traces, timeline };
            await writeFile(join(logFolder, `seed-${seed}.json`), JSON.stringify(evidence, undefined, 1));
        }
        return { seed, schedule, verdict };
    }
    finally {
        await fleet.close();
        log?.end();
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
