import type { InstanceInfo } from "@ospreyreel/types";
import { rendezvousOrder } from "./rendezvous.js";

/** Cores of the largest instance, as a share, from which on others are as fit for work that many depend on. */
const FIT_SHARE = 0.5;

const getCores = (info: InstanceInfo): number => info.cores ?? 1;

/** Instances in rendezvous order for a key, those with many cores first. */
export const orderBySize = (key: string, instances: readonly InstanceInfo[]): readonly InstanceInfo[] => {
    const least = FIT_SHARE * Math.max(...instances.map(getCores));
    const ordered = rendezvousOrder(key, instances, info => info.instance);
    return [
        ...ordered.filter(info => getCores(info) >= least),
        ...ordered.filter(info => getCores(info) < least),
    ];
};
