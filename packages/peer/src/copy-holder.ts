import type { InstanceInfo } from "@ospreyreel/types";
import { rendezvousOrder } from "./rendezvous.js";

/**
 * Returns the live peer that stores this instance's copy; undefined where there is none. A peer in another availability
 * zone of the same region is preferred: the copy is acknowledged before each dispatch, and regions can lose contact. A
 * peer of the same zone comes last: it survives the loss of this process at least, and is the only choice in a
 * partitioned zone.
 */
export const chooseCopyHolder = (self: InstanceInfo, peers: readonly InstanceInfo[]): InstanceInfo | undefined => {
    const others = peers.filter(info => info.state === "live" && !isSameInstance(info, self));
    const otherZones = others.filter(info => !isSameZone(info, self));
    const sameRegion = otherZones.filter(info => info.region === self.region);
    const best = [sameRegion, otherZones, others].find(group => group.length > 0) ?? [];
    return rendezvousOrder(self.instance, best, info => info.instance)[0];
};

const isSameZone = (a: InstanceInfo, b: InstanceInfo): boolean =>
    a.region === b.region && a.availabilityZone === b.availabilityZone;

const isSameInstance = (a: InstanceInfo, b: InstanceInfo): boolean => a.instance === b.instance;
