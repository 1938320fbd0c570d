import type { RandomSource } from "./random-source.js";
import { TargetChoicePolicy, type TargetLoad } from "./target-choice-policy.js";

/** Chooses any target with equal probability; the baseline for comparison. */
export class RandomChoice extends TargetChoicePolicy {
    constructor(private readonly random: RandomSource) {
        super();
    }

    override choose(candidates: readonly TargetLoad[]): number {
        return this.random.nextIndex(candidates.length);
    }
}
