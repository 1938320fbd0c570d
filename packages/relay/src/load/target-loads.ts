import type { Target } from "../targets/target.js";

/** Load of one start of a target over all instances. */
export interface TargetLoad {
    /** Requests that it works on. */
    readonly running: number;
    /** Requests that wait at it. */
    readonly queued: number;
    /** Tokens that its requests hold in its memory. */
    readonly usedTokens: number;
    /** Tokens that its memory can hold; 0 where it has no such limit. */
    readonly capacityTokens: number;
    /** Age of the report behind these numbers, in milliseconds. */
    readonly ageMs: number;
    /** How far the numbers can be relied on: 1 for a fresh report, 0 for one that is too old to count. */
    readonly weight: number;
    /** Set where no report is behind the numbers, but only a rejection of a request of this instance. */
    readonly isOwnEstimate?: boolean;
}

/** Tells the load of targets over all instances. */
export abstract class TargetLoads {
    /** Load of a target; undefined where nothing is known. */
    abstract get(target: Target): TargetLoad | undefined;
}

/** Knows the load of no target. */
export class UnknownTargetLoads extends TargetLoads {
    override get(): undefined {
        return undefined;
    }
}
