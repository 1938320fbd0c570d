/** What placement knows of one target that may take a request. */
export interface PlacementNumbers {
    /** Own requests in flight. */
    readonly inFlight: number;
    /** Requests it works on at once. */
    readonly slots: number;
    /** Whether it is in this instance's availability zone. */
    readonly isNear: boolean;
    /** Mean time to the first byte against the median of its service; 1 where it is not known. */
    readonly slowness: number;
    /** Share of recent answers that were errors, 0 to 1. */
    readonly errorShare: number;
    /** Order of preference by the prompt's parts: the higher, the better; 0 for all without affinity. */
    readonly affinity: number;
}

/** Chooses a target for one request. */
export abstract class PlacementPolicy {
    /** Index of the chosen one among at least one candidate. */
    abstract choose(candidates: readonly PlacementNumbers[]): number;
}
