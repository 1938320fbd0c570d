import type { RandomSource } from "./random-source.js";
import { TargetChoicePolicy, type TargetLoad } from "./target-choice-policy.js";

/** Chooses the target with the fewest own requests in flight for its capacity; ties are broken at random. */
export class LeastInFlight extends TargetChoicePolicy {
    constructor(private readonly random: RandomSource) {
        super();
    }

    override choose(candidates: readonly TargetLoad[]): number {
        const shares = candidates.map(target => target.inFlight / target.capacity);
        const lowest = Math.min(...shares);
        const ties = [...shares.keys()].filter(i => shares[i] === lowest);
        return ties[this.random.nextIndex(ties.length)] as number;
    }
}
