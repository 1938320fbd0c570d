import sade from "sade";
import { playPlatformSeed } from "../platform/soak/play-platform-seed.js";
import { runSeed } from "./soak-seed.js";

interface SoakArguments {
    readonly "seeds": number;
    readonly "first-seed": number;
    readonly "parallel": number;
    readonly "fleet": string;
    readonly "instances": number;
    readonly "logs"?: string;
}

/** What a seed's result says, whichever fleet it was played on. */
interface SoakResult {
    readonly seed: number;
    readonly schedule: readonly { readonly fault: { readonly kind: string; }; }[];
    readonly verdict: {
        readonly ok: boolean;
        readonly violations: object;
        readonly figures: object;
    };
}

/** Fleets that seeds can be played on: the product's own daemons, or instances on the users' platform. */
const FLEETS: Readonly<Record<string, (seed: number, opts: SoakArguments) => Promise<SoakResult>>> = {
    daemon: runSeed,
    platform: (seed, { instances, logs }) =>
        playPlatformSeed(seed, { instances: Number(instances) || undefined, logFolder: logs }),
};

const say = (line: string): void => void process.stdout.write(`${line}\n`);

const report = ({ seed, schedule, verdict: { ok, violations, figures } }: SoakResult): void => {
    const broken = Object.entries(violations).filter(([, value]) => value !== 0);
    const text = ok ? "ok" : `BROKEN ${JSON.stringify(Object.fromEntries(broken))}`;
    say(`seed ${seed}: ${text}; ${schedule.map(entry => entry.fault.kind).join(" + ")}; ${JSON.stringify(figures)}`);
    if (!ok) {
        say(`  schedule of seed ${seed}: ${JSON.stringify(schedule)}`);
    }
};

const run = async (opts: SoakArguments): Promise<void> => {
    const playSeed = FLEETS[opts.fleet];
    if (playSeed === undefined) {
        say(`there is no fleet "${opts.fleet}"; there are ${Object.keys(FLEETS).join(", ")}`);
        process.exitCode = 2;
        return;
    }
    const first = Number(opts["first-seed"]);
    const pending = [...Array(Number(opts.seeds)).keys()].map(index => first + index);
    const broken: number[] = [];
    const failed: number[] = [];
    const work = async (): Promise<void> => {
        for (let seed = pending.shift(); seed !== undefined; seed = pending.shift()) {
            try {
                const result = await playSeed(seed, opts);
                report(result);
                if (!result.verdict.ok) {
                    broken.push(seed);
                }
            }
            catch (err) {
                failed.push(seed);
                say(`seed ${seed}: DID NOT RUN ${err instanceof Error ? err.message : String(err)}`);
            }
        }
    };
    await Promise.all(Array.from({ length: Number(opts.parallel) }, work));
    const clean = Number(opts.seeds) - broken.length - failed.length;
    say(`soak: ${clean} ok, ${broken.length} broken [${broken.join(", ")}], ${failed.length} did not run [${
        failed.join(", ")
    }]`);
    process.exitCode = broken.length + failed.length === 0 ? 0 : 1;
};

// Without a handler, the processes of the fleets would outlive this one.
for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.once(signal, () => process.exit(1));
}

sade("ospreyreel-soak", true)
    .describe("Runs random schedules of faults against fleets of real processes and judges each by the oracle.")
    .option("--seeds", "How many seeds to run", 10)
    .option("--first-seed", "First seed; a single seed is replayed with --seeds 1", 1)
    .option("--fleet", "What to play on: daemon or platform", "daemon")
    .option("--instances", "Instances of each fleet on the platform; 0 draws three to six", 0)
    .option("--logs", "Folder for the logs of instances on the platform and for traces of what broke a promise")
    .option("--parallel", "Fleets at once, about ten processes each", 3)
    .action(run)
    .parse(process.argv);
