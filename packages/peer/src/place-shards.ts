import { NameScores } from "./name-scores.js";

/** Options of {@link placeShards}. */
export interface ShardPlacementOptions {
    readonly shards: number;
    /** Names of the live instances, in the same order at all instances. */
    readonly names: readonly string[];
    /** Share by which an instance's shards may exceed the mean; 0.25 by default. */
    readonly slack?: number;
    /** Minimum number of instances for a shard; 2 by default, so that the loss of one leaves one that knows it. */
    readonly minInstances?: number;
    /** Factor on the proportional number of instances for a shard; 1.5 by default. */
    readonly headroom?: number;
}

const DEFAULTS = { slack: 0.25, minInstances: 2, headroom: 1.5 };

/** Returns the key of a shard for rendezvous scores. */
export const getShardKey = (shard: number): string => `shard-${shard}`;

/** Returns the number of instances that a shard is placed at. */
const getPlacementCount = ({ shards, names, minInstances, headroom }: Required<ShardPlacementOptions>): number =>
    Math.min(names.length, Math.max(minInstances, Math.ceil(headroom * names.length / shards)));

/** Returns the index of the best score above 0 among instances with fewer than `maxLoad` shards, undefined if none. */
const findBest = (scores: Uint32Array, loads: Uint32Array, maxLoad: number): number | undefined => {
    let best: number | undefined;
    let bestScore = 0;
    for (let index = 0; index < scores.length; index++) {
        const score = scores[index] ?? 0;
        if (score > bestScore && (loads[index] ?? 0) < maxLoad) {
            best = index;
            bestScore = score;
        }
    }
    return best;
};

/**
 * Places each shard at a few instances, by rendezvous hashing with bounded loads; returns indexes of names, best first.
 * With about one shard for each instance, hashing alone would leave many instances without a shard and give others
 * several.
 */
export const placeShards = (options: ShardPlacementOptions): readonly (readonly number[])[] => {
    const opts = { ...DEFAULTS, ...options };
    const { shards, names, slack } = opts;
    const count = getPlacementCount(opts);
    const maxLoad = Math.ceil((1 + slack) * shards * count / Math.max(1, names.length));
    const nameScores = new NameScores(names);
    const loads = new Uint32Array(names.length);
    return Array.from({ length: shards }, (_, shard) => {
        const scores = nameScores.getScores(getShardKey(shard));
        const placement: number[] = [];
        while (placement.length < count) {
            // For the last shards there may be too few instances below the limit.
            const best = findBest(scores, loads, maxLoad) ?? findBest(scores, loads, Infinity) ?? 0;
            placement.push(best);
            loads[best] = (loads[best] ?? 0) + 1;
            scores[best] = 0;
        }
        return placement;
    });
};
