import type { InstanceInfo } from "@ospreyreel/types";

/**
 * Most instances in one answer. Each answer of a large fleet names others, so that all get their share of callers; few
 * enough that a caller who keeps an address as long as it is named soon leaves a small instance.
 */
const MAX_NAMED = 16;

/**
 * Power of an instance's cores by which it is named. With the square an instance of four times the cores is in nearly
 * every answer: heavy callers, who move only when their address is missing, settle there.
 */
const CORES_POWER = 2;

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
    instances.map(info => ({ info, at: -Math.log(1 - random()) / (info.cores ?? 1) ** CORES_POWER }))
        .toSorted((a, b) => a.at - b.at)
        .slice(0, MAX_NAMED)
        .map(({ info }) => info);
