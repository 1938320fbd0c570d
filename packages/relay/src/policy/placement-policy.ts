/** Placement inputs of one candidate target. */
export interface PlacementNumbers {
    /** This instance's requests in flight at the target. */
    readonly inFlight: number;
    /** Requests that the target handles concurrently. */
    readonly slots: number;
    /** Whether it is in this instance's availability zone. */
    readonly isNear: boolean;
    /** Mean time to the first byte relative to the median of its service; 1 where it is unknown. */
    readonly slowness: number;
    /** Share of recent responses that were errors, 0 to 1. */
    readonly errorShare: number;
    /** Preference by the prompt's parts, higher is better; 0 for all targets without affinity. */
    readonly affinity: number;
}

/** Chooses a target for one request. */
export abstract class PlacementPolicy {
    /** Returns the index of the chosen target; there is at least one candidate. */
    abstract choose(candidates: readonly PlacementNumbers[]): number;
}
