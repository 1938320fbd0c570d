/** Load and capacity of a target that can accept a request. */
export interface TargetLoad {
    /** Own requests in flight. */
    readonly inFlight: number;
    /** Requests of other instances by the last load report; 0 without a recent one. */
    readonly others: number;
    /** Requests that it serves concurrently, reduced during the slow return from an ejection; above 0. */
    readonly capacity: number;
    /** Whether it is expected to have the prompt's prefix cached. */
    readonly hasPrefix: boolean;
}

/** Chooses a target for one request. */
export abstract class TargetChoicePolicy {
    /** Returns the index of the chosen candidate; there is at least one. */
    abstract choose(candidates: readonly TargetLoad[]): number;
}

/** Returns a target's load as a share of its capacity; 1 is a full batch. */
export const getLoadShare = (target: TargetLoad, othersWeight = 1): number =>
    (target.inFlight + othersWeight * target.others) / target.capacity;
