import type { InstanceInfo } from "@ospreyreel/types";

/** Options of {@link chooseHelpers}. */
export interface HelperChoiceOptions {
    readonly self: InstanceInfo;
    readonly peers: readonly InstanceInfo[];
    /** Oldest version of the desired state with which a helper may serve. */
    readonly minVersion: number;
    /** Returns random numbers in [0, 1); `Math.random` by default. */
    readonly random?: () => number;
}

const getCores = ({ cores = 1 }: InstanceInfo): number => cores;

/**
 * Peers that may serve an overloaded instance's callers, in the order in which they are asked: those with most cores first, then
 * those of its availability zone, at random among equals. None is smaller than the instance itself.
 */
export const chooseHelpers = (
    { self, peers, minVersion, random = Math.random }: HelperChoiceOptions,
): readonly InstanceInfo[] =>
    peers.filter(peer => peer.state === "live" && peer.configRevision >= minVersion && getCores(peer) >= getCores(self))
        .map(peer => ({ peer, isNear: peer.availabilityZone === self.availabilityZone, at: random() }))
        .toSorted((a, b) => getCores(b.peer) - getCores(a.peer) || Number(b.isNear) - Number(a.isNear) || a.at - b.at)
        .map(({ peer }) => peer);
