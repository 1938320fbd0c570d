import type { ProxyMode } from "@ospreyreel/stand-ins";
import { drawEntries, type ScheduleBounds, type TimedFault } from "./draw-entries.js";
import type { RandomSource } from "./random-source.js";

/** One fault of a schedule and how it is brought about. */
export type ScheduledFault =
    | { readonly kind: "kill" | "freeze"; readonly instance: number; }
    | { readonly kind: "cutKv"; readonly instances: readonly number[]; readonly mode: ProxyMode; }
    | {
        readonly kind: "partition";
        readonly one: readonly number[];
        readonly other: readonly number[];
        readonly mode: ProxyMode;
    }
    | {
        readonly kind: "oneWay";
        readonly from: readonly number[];
        readonly to: readonly number[];
        readonly mode: ProxyMode;
    }
    | { readonly kind: "kvDown"; }
    | { readonly kind: "kvSlow"; readonly stallMs: number; }
    | { readonly kind: "kvLosesReplies"; readonly probability: number; readonly seed: number; }
    | { readonly kind: "engineCut"; readonly engine: string; readonly afterChunks: number; }
    | { readonly kind: "serviceLosesReplies"; readonly calls: number; }
    | { readonly kind: "topUp"; readonly tokens: number; };

/** One entry of a schedule. */
export type ScheduleEntry = TimedFault<ScheduledFault>;

const BOUNDS: ScheduleBounds = { faults: [2, 4], longestStartMs: 2_500, durationMs: [300, 3_500] };

const KINDS = [
    "kill",
    "kill",
    "freeze",
    "freeze",
    "cutKv",
    "partition",
    "partition",
    "oneWay",
    "kvDown",
    "kvSlow",
    "kvLosesReplies",
    "engineCut",
    "serviceLosesReplies",
    "topUp",
] as const satisfies readonly ScheduledFault["kind"][];

const CUT_MODES: readonly ProxyMode[] = ["cut", "stall", "halfOpen"];
const ONE_WAY_MODES: readonly ProxyMode[] = ["dropClientToServer", "dropServerToClient"];

const createFault = (random: RandomSource, instances: number): ScheduledFault => {
    const kind = random.pick(KINDS);
    const instance = random.int(0, instances - 1);
    const others = [...Array(instances).keys()].filter(index => index !== instance);
    switch (kind) {
        case "kill":
        case "freeze":
            return { kind, instance };
        case "cutKv":
            return {
                kind,
                instances: random.pick([[instance], others, [instance, ...others]]),
                mode: random.pick(CUT_MODES),
            };
        case "partition":
            return {
                kind,
                one: [instance],
                other: random.pick([others, others.slice(1)]),
                mode: random.pick(CUT_MODES),
            };
        case "oneWay":
            return { kind, from: [instance], to: others, mode: random.pick(ONE_WAY_MODES) };
        case "kvDown":
            return { kind };
        case "kvSlow":
            return { kind, stallMs: random.pick([50, 250, 500]) };
        case "kvLosesReplies":
            return { kind, probability: random.pick([0.1, 0.3, 0.6]), seed: random.int(1, 1_000_000) };
        case "engineCut":
            return { kind, engine: random.pick(["engine-0", "engine-1"]), afterChunks: random.int(0, 20) };
        case "serviceLosesReplies":
            return { kind, calls: random.int(1, 4) };
        case "topUp":
            return { kind, tokens: random.int(100, 600) };
    }
};

/** Two to four faults that mostly overlap; the same ones for the same draws. */
export const createSchedule = (random: RandomSource, instances: number): readonly ScheduleEntry[] =>
    drawEntries(random, BOUNDS, () => createFault(random, instances));
