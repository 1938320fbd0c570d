import { hash32, rendezvousOrder } from "@ospreyreel/peer";
import type { InstanceInfo } from "@ospreyreel/types";
import { SHARD_COUNT } from "./shard-record.js";

/** The shard of a budget. */
export const getShard = (budget: string): number => hash32(budget) % SHARD_COUNT;

/** Cores of the largest instance, as a share, from which on others are as fit to own budgets. */
const FIT_SHARE = 0.5;

/**
 * Instances in the order in which they should own a shard. All draws of a budget meet at its owner, so the larger ones
 * come first.
 */
export const orderOwners = (shard: number, instances: readonly InstanceInfo[]): readonly InstanceInfo[] => {
    const least = FIT_SHARE * Math.max(...instances.map(getCores));
    const ordered = rendezvousOrder(`budgets/${shard}`, instances, info => info.instance);
    return [
        ...ordered.filter(info => getCores(info) >= least),
        ...ordered.filter(info => getCores(info) < least),
    ];
};

const getCores = (info: InstanceInfo): number => info.cores ?? 1;
