import type { InstanceInfo } from "@ospreyreel/types";

/** Orders the instances of some regions before the others; the order is kept otherwise. */
export const putFirst = (
    instances: readonly InstanceInfo[],
    regions: ReadonlySet<string>,
): readonly InstanceInfo[] => [
    ...instances.filter(({ region }) => regions.has(region)),
    ...instances.filter(({ region }) => !regions.has(region)),
];
