import { createHash } from "node:crypto";

/** Returns a 32-bit digest of a text; the same at all instances. */
export const hash32 = (text: string): number => createHash("sha256").update(text).digest().readUInt32BE(0);

/** The finalizer of MurmurHash3, which spreads each bit of a number over all others. */
const mix = (value: number): number => {
    let mixed = value;
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
};

/**
 * Rendezvous scores of many names for many keys. A digest of each pair of key and name would cost 6 ms for 1,200 names,
 * so names and keys are digested once each, and the digests are mixed.
 */
export class NameScores {
    private readonly hashes: Uint32Array;

    constructor(names: readonly string[]) {
        this.hashes = Uint32Array.from(names, hash32);
    }

    /** Returns the key's scores by index of the name, never 0; independent of the instance and of the other names. */
    getScores(key: string): Uint32Array {
        const { hashes } = this;
        const keyHash = hash32(key);
        const scores = new Uint32Array(hashes.length);
        // A placement computes a score for each pair of shard and instance, so this is a plain loop.
        for (let index = 0; index < scores.length; index++) {
            scores[index] = mix(mix((hashes[index] ?? 0) ^ keyHash) + keyHash) || 1;
        }
        return scores;
    }
}
