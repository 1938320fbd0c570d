/** Bounds on the use of one budget, in tokens since the budget exists. */
export interface BudgetBounds {
    /** The owner hands out no more than this without a further write or note. */
    readonly window: number;
    /** The owner never notes more than this at its witnesses. */
    readonly limit: number;
}

/** What the KV service holds of a shard of budgets. */
export interface ShardRecord {
    /** Grows with each owner. */
    readonly epoch: number;
    /** The owner; undefined after it handed the shard back, its bounds being exact then. */
    readonly owner: { readonly instance: string; readonly incarnation: string; } | undefined;
    /** Incarnations that must all keep a note before the owner goes past a window. */
    readonly witnesses: readonly string[];
    readonly budgets: Readonly<Record<string, BudgetBounds>>;
}

/** Shards of the whole fleet; some for each instance at the size to design for. */
export const SHARD_COUNT = 4_096;

/** Key of a shard's record. */
export const getShardKey = (shard: number): string => `ospreyreel/budgets/${shard}`;

/** A record as bytes. */
export const encodeShardRecord = (record: ShardRecord): Uint8Array => Buffer.from(JSON.stringify(record));

/** Reads a record; throws where the bytes hold none, since no budget may be opened anew over one. */
export const decodeShardRecord = (bytes: Uint8Array): ShardRecord =>
    JSON.parse(Buffer.from(bytes).toString("utf8")) as ShardRecord;
