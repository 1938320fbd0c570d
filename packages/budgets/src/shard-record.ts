/** Bounds on the use of one budget, in tokens since the budget exists. */
export interface BudgetBounds {
    /** The owner hands out no more than this without a further write or note. */
    readonly window: number;
    /** The owner never notes more than this at its witnesses. */
    readonly limit: number;
}

/** A ceiling on the total use of one budget, whatever copy the KV service comes back from. */
export interface StoredCeiling {
    readonly tokens: number;
    /** Time for which it was stored in the record's era, in milliseconds; undefined where that is not known. */
    readonly ageMs?: number;
}

/** Bounds of one budget in a record. */
export interface StoredBudget extends BudgetBounds {
    /** Oldest first; the last one is the record's own. Undefined from earlier versions. */
    readonly ceilings?: readonly StoredCeiling[];
}

/** Record of a shard of budgets in the KV service. */
export interface ShardRecord {
    /** Grows with each owner. */
    readonly epoch: number;
    /** Era of the KV service's data in which the record was written; undefined from earlier versions. */
    readonly era?: number;
    /** Restores that may have lost the use of budgets that the record does not name; undefined for none. */
    readonly unseenRestores?: number;
    /** The owner; undefined after it released the shard, whose bounds are then exact. */
    readonly owner: { readonly instance: string; readonly incarnation: string; } | undefined;
    /** Incarnations of which a quorum must hold a note before the owner goes past a window. */
    readonly witnesses: readonly string[];
    readonly budgets: Readonly<Record<string, StoredBudget>>;
}

/** Epochs of one era; owners of different eras never have the same epoch. */
const EPOCHS_PER_ERA = 2 ** 32;

/** Returns the epoch of the next owner. */
export const getNextEpoch = (earlier: ShardRecord | undefined, era: number): number =>
    Math.max(earlier?.epoch ?? 0, era * EPOCHS_PER_ERA) + 1;

/** Shards of the whole fleet; several for each instance at the design size of the fleet. */
export const SHARD_COUNT = 4_096;

/** Prefix of the keys of all records. */
export const SHARD_KEY_PREFIX = "ospreyreel/budgets/";

/** Key of a shard's record. */
export const getShardKey = (shard: number): string => `${SHARD_KEY_PREFIX}${shard}`;

/** Encodes a record. */
export const encodeShardRecord = (record: ShardRecord): Uint8Array => Buffer.from(JSON.stringify(record));

/** Decodes a record; throws on invalid bytes, since a budget must not start again over an unreadable record. */
export const decodeShardRecord = (bytes: Uint8Array): ShardRecord =>
    JSON.parse(Buffer.from(bytes).toString("utf8")) as ShardRecord;
