import type { InstanceInfo } from "@ospreyreel/types";

/** Most instances in one answer; each answer of a large fleet names others, so that all get their share of callers. */
const MAX_NAMED = 64;

/** Options of a draw. */
export interface PlacementOptions {
    /** Numbers from 0 up to 1; `Math.random` by default. */
    readonly random?: () => number;
}

/** Draws the instances that one answer to a caller names, larger ones more often, without repeats. */
export const drawNamed = (
    instances: readonly InstanceInfo[],
    { random = Math.random }: PlacementOptions = {},
): readonly InstanceInfo[] =>
    instances.map(info => ({ info, at: -Math.log(1 - random()) / (info.cores ?? 1) }))
        .toSorted((a, b) => a.at - b.at)
        .slice(0, MAX_NAMED)
        .map(({ info }) => info);
