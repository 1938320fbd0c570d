import type { Intent } from "@ospreyreel/types";

/** One budget in a shard. All figures are tokens and never decrease. */
export interface BudgetRecord {
    /** Sum of the top-ups at `docRevision`. */
    readonly prepaid: number;
    /** Highest document revision that set `prepaid`. */
    readonly docRevision: number;
    /** Tokens used by closed incarnations and resolved sealed intents, plus `unproved`. */
    readonly spent: number;
    /** Part of `spent` whose use was not proved before its record was removed; missing while there is none. */
    readonly unproved?: number;
}

/** Grant of one incarnation from one budget, in tokens. */
export interface GrantRecord {
    readonly granted: number;
    readonly settled: number;
}

/** One open incarnation in a shard. */
export interface OpenRecord {
    /** Last finish of this incarnation that `settled` includes. */
    readonly finishSeq: number;
    readonly grants: Readonly<Record<string, GrantRecord>>;
}

/** An intent of a closed incarnation whose use is not known yet; it counts in full. */
export interface SealedRecord {
    readonly intent: Intent;
    /** Incarnation that closed the holder. */
    readonly closer: string;
    /** When the holder was closed, in milliseconds since the epoch; missing in records of earlier versions. */
    readonly sealedAtMs?: number;
}

/** Position of the journal at a time, used to remove old batches. */
export interface JournalMark {
    readonly seq: number;
    /** Milliseconds since the epoch. */
    readonly atMs: number;
}

/** The only mutable record of a shard; it changes by compare-and-swap only. */
export interface HeadRecord {
    /** Number of the last journal batch; 0 before the first. */
    readonly seq: number;
    readonly budgets: Readonly<Record<string, BudgetRecord>>;
    /** By incarnation. */
    readonly open: Readonly<Record<string, OpenRecord>>;
    /** By intent id. */
    readonly sealed: Readonly<Record<string, SealedRecord>>;
    readonly marks: readonly JournalMark[];
}

/** A shard before its first write. */
export const emptyHead: HeadRecord = { seq: 0, budgets: {}, open: {}, sealed: {}, marks: [] };
