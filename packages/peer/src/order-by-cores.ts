import type { InstanceInfo } from "@ospreyreel/types";
import { rendezvousOrder } from "./rendezvous.js";

/** Share of the largest instance's cores from which an instance is preferred for work that many depend on. */
const MIN_CORES_SHARE = 0.5;

const getCores = (info: InstanceInfo): number => info.cores ?? 1;

/** Returns instances in rendezvous order for a key, those with many cores first. */
export const orderByCores = (key: string, instances: readonly InstanceInfo[]): readonly InstanceInfo[] => {
    const minCores = MIN_CORES_SHARE * Math.max(...instances.map(getCores));
    const ordered = rendezvousOrder(key, instances, info => info.instance);
    return [
        ...ordered.filter(info => getCores(info) >= minCores),
        ...ordered.filter(info => getCores(info) < minCores),
    ];
};
