import type { InstanceInfo } from "@ospreyreel/types";
import { putFirst } from "../regions/put-first.js";

/**
 * Maximum number of instances in one response. In a large fleet each response has a different sample, so that all
 * instances get their share of callers.
 */
const MAX_SAMPLE_SIZE = 64;

/** Options of {@link sampleInstances}. */
export interface SamplingOptions {
    /** Returns random numbers in [0, 1); `Math.random` by default. */
    readonly random?: () => number;
    /** Regions whose instances come first; none by default. */
    readonly regions?: ReadonlySet<string>;
}

/** Samples the instances for one directory response, weighted by cores and without repeats. */
export const sampleInstances = (
    instances: readonly InstanceInfo[],
    { random = Math.random, regions = new Set() }: SamplingOptions = {},
): readonly InstanceInfo[] => {
    const inOrder = instances.map(info => ({ info, at: -Math.log(1 - random()) / (info.cores ?? 1) }))
        .toSorted((a, b) => a.at - b.at)
        .map(({ info }) => info);
    return (regions.size === 0 ? inOrder : putFirst(inOrder, regions)).slice(0, MAX_SAMPLE_SIZE);
};
