import type { InstanceInfo } from "@ospreyreel/types";

/**
 * Maximum number of instances in one response. In a large fleet each response has a different sample, so that all
 * instances get their share of callers.
 */
const MAX_SAMPLE_SIZE = 64;

/** Options of {@link sampleInstances}. */
export interface SamplingOptions {
    /** Returns random numbers in [0, 1); `Math.random` by default. */
    readonly random?: () => number;
}

/** Samples the instances for one directory response, weighted by cores and without repeats. */
export const sampleInstances = (
    instances: readonly InstanceInfo[],
    { random = Math.random }: SamplingOptions = {},
): readonly InstanceInfo[] =>
    instances.map(info => ({ info, at: -Math.log(1 - random()) / (info.cores ?? 1) }))
        .toSorted((a, b) => a.at - b.at)
        .slice(0, MAX_SAMPLE_SIZE)
        .map(({ info }) => info);
