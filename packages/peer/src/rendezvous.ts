import { createHash } from "node:crypto";

/** Bytes of the digest used as a score; 48 bits fit a number exactly. */
const SCORE_BYTES = 6;

/** Returns the score of a name for a key: the same at all instances, and independent of the other names. */
export const rendezvousScore = (key: string, name: string): number =>
    createHash("sha256").update(key).update("\0").update(name).digest().readUIntBE(0, SCORE_BYTES);

/** Sorts items by descending score for the key; names must be unique. Removing one keeps the order of the others. */
export const rendezvousOrder = <T>(key: string, items: readonly T[], nameOf: (item: T) => string): readonly T[] => {
    const scored = items.map(item => ({ item, name: nameOf(item), score: rendezvousScore(key, nameOf(item)) }));
    scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
    return scored.map(entry => entry.item);
};
