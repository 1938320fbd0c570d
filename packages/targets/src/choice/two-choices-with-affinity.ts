import { AffinityChoice, type AffinityChoiceOptions } from "./affinity-choice.js";
import type { RandomSource } from "./random-source.js";

/** Power of two choices on own requests in flight and other instances' delayed load; compared in decision 4. */
export class TwoChoicesWithAffinity extends AffinityChoice {
    constructor(random: RandomSource, opts: AffinityChoiceOptions = {}) {
        super(random, { choices: 2, othersWeight: 1, ...opts });
    }
}
