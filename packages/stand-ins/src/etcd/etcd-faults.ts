import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Faults of the key-value stand-in. */
export interface EtcdFaults {
    /** Connections are refused and open ones destroyed; no call has an effect. */
    readonly down: boolean;
    /** Wait before each call takes effect; a caller that has left does not undo it. */
    readonly stallMs: number;
    /** Probability that a write takes effect and its reply is lost, 0 to 1. */
    readonly loseReplies: number;
    /** Seed of the draws for `loseReplies`. */
    readonly seed: number;
    /** Watches stay open but are told nothing. */
    readonly dropWatchEvents: boolean;
}

/** A stand-in without faults. */
export const NO_ETCD_FAULTS: EtcdFaults = {
    down: false,
    stallMs: 0,
    loseReplies: 0,
    seed: 1,
    dropWatchEvents: false,
};

/** Decides which replies are lost, the same ones for the same seed. */
export class ReplyLoss {
    private readonly generator;
    private readonly probability: number;

    constructor(faults: EtcdFaults) {
        this.generator = xoroshiro128plus(faults.seed);
        this.probability = faults.loseReplies;
    }

    /** Draws for one reply. */
    losesNext(): boolean {
        return this.probability > 0 && uniformFloat64(this.generator) < this.probability;
    }
}
