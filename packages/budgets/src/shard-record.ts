/** Bounds on the use of one budget, in tokens since the budget exists. */
export interface BudgetBounds {
    /** The owner hands out no more than this without a further write or note. */
    readonly window: number;
    /** The owner never notes more than this at its witnesses. */
    readonly limit: number;
}

/** Record of a shard of budgets in the KV service. */
export interface ShardRecord {
    /** Grows with each owner. */
    readonly epoch: number;
    /** The owner; undefined after it released the shard, whose bounds are then exact. */
    readonly owner: { readonly instance: string; readonly incarnation: string; } | undefined;
    /** Incarnations of which a quorum must hold a note before the owner goes past a window. */
    readonly witnesses: readonly string[];
    readonly budgets: Readonly<Record<string, BudgetBounds>>;
}

/** Shards of the whole fleet; several for each instance at the design size of the fleet. */
export const SHARD_COUNT = 4_096;

/** Key of a shard's record. */
export const getShardKey = (shard: number): string => `ospreyreel/budgets/${shard}`;

/** Encodes a record. */
export const encodeShardRecord = (record: ShardRecord): Uint8Array => Buffer.from(JSON.stringify(record));

/** Decodes a record; throws on invalid bytes, since a budget must not start again over an unreadable record. */
export const decodeShardRecord = (bytes: Uint8Array): ShardRecord =>
    JSON.parse(Buffer.from(bytes).toString("utf8")) as ShardRecord;
