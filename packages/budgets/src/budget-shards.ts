import { hash32, orderByCores } from "@ospreyreel/peer";
import type { InstanceInfo } from "@ospreyreel/types";
import { SHARD_COUNT } from "./shard-record.js";

/** The shard of a budget. */
export const getShard = (budget: string): number => hash32(budget) % SHARD_COUNT;

/** Instances in the order of preference for owning a shard. All draws of a budget go to its owner. */
export const orderOwners = (shard: number, instances: readonly InstanceInfo[]): readonly InstanceInfo[] =>
    orderByCores(`budgets/${shard}`, instances);
