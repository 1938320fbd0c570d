import type { ProxyMode } from "@ospreyreel/stand-ins";
import { drawEntries, type ScheduleBounds, type TimedFault } from "../../faults/draw-entries.js";
import type { RandomSource } from "../../faults/random-source.js";

/** One fault of a fleet on the platform. */
export type PlatformFault =
    /** A process is killed, told to stop or paused, and started or continued at the fault's end. */
    | { readonly kind: "kill" | "stop" | "freeze"; readonly instance: number; }
    /** All processes are killed at once. */
    | { readonly kind: "killAll"; }
    /** Connections of instances to the store go through a proxy in this mode. */
    | { readonly kind: "cutStore"; readonly instances: readonly number[]; readonly mode: ProxyMode; }
    | { readonly kind: "slowStore"; readonly instances: readonly number[]; readonly delayMs: number; }
    | { readonly kind: "storeSilent" | "storeBusy" | "storeLosesReplies" | "storeForgets"; }
    /** Writes take effect this much later and are not answered. */
    | { readonly kind: "storeLate"; readonly lateMs: number; }
    /** A model target announces that it leaves and ends, or crashes at once; it starts again at another address. */
    | { readonly kind: "targetLeaves" | "targetReborn"; readonly target: number; }
    /** A new desired state with more tokens. */
    | { readonly kind: "topUp"; readonly tokens: number; }
    /** The settings file is written again and the process told of it. */
    | { readonly kind: "reload"; readonly instance: number; };

/** One entry of a schedule. */
export type PlatformScheduleEntry = TimedFault<PlatformFault>;

/** With the longest fault, a seed's load lasts about eight seconds. */
const BOUNDS: ScheduleBounds = { faults: [3, 7], longestStartMs: 4_000, durationMs: [200, 4_000] };

const KINDS = [
    "kill",
    "kill",
    "stop",
    "freeze",
    "freeze",
    "killAll",
    "cutStore",
    "cutStore",
    "cutStore",
    "slowStore",
    "storeSilent",
    "storeBusy",
    "storeLosesReplies",
    "storeLate",
    "storeForgets",
    "targetLeaves",
    "targetReborn",
    "topUp",
    "reload",
] as const satisfies readonly PlatformFault["kind"][];

const CUT_MODES: readonly ProxyMode[] = ["cut", "stall", "halfOpen", "dropClientToServer", "dropServerToClient"];

const createFault = (random: RandomSource, instances: number): PlatformFault => {
    const kind = random.pick(KINDS);
    const instance = random.int(0, instances - 1);
    const all = [...Array(instances).keys()];
    switch (kind) {
        case "kill":
        case "stop":
        case "freeze":
        case "reload":
            return { kind, instance };
        case "cutStore":
            return { kind, instances: random.pick([[instance], all, all.slice(1)]), mode: random.pick(CUT_MODES) };
        case "slowStore":
            return { kind, instances: random.pick([[instance], all]), delayMs: random.pick([20, 100, 400]) };
        case "storeLate":
            return { kind, lateMs: random.pick([200, 1_000, 3_000]) };
        case "targetLeaves":
        case "targetReborn":
            return { kind, target: random.int(0, 1) };
        case "topUp":
            return { kind, tokens: random.int(500, 20_000) };
        default:
            return { kind };
    }
};

/** Faults in series that overlap; the same ones for the same draws. */
export const createPlatformSchedule = (random: RandomSource, instances: number): readonly PlatformScheduleEntry[] =>
    drawEntries(random, BOUNDS, () => createFault(random, instances));
