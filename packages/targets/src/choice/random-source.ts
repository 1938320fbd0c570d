import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Seeded source of random numbers. */
export class RandomSource {
    private readonly generator: RandomGenerator;

    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /** Returns an integer from 0 up to but excluding `count`. */
    nextIndex(count: number): number {
        return uniformInt(this.generator, 0, count - 1);
    }
}
