import type { HeadRecord } from "./head-record.js";
import type { Claim, JournalEntry } from "./journal-entry.js";
import type { BilledRequest } from "./journal-index.js";

/** A shard as last read, with the indexes of its journal. */
export interface ShardView {
    readonly head: HeadRecord;
    /** Revision of the service at the last change of the head; 0 without a head. */
    readonly modRevision: number;
    /** By journal key. */
    readonly bills: ReadonlyMap<string, BilledRequest>;
    /** By journal key. */
    readonly claims: ReadonlyMap<string, Claim>;
}

/** A change of a shard. Without a head nothing is written. */
export interface ShardChange {
    readonly head: HeadRecord | undefined;
    readonly entries: readonly JournalEntry[];
}

/**
 * Computes a change from a fresh view. It may be called several times for one commit, so it sets absolute values rather
 * than increments: a repeat after a lost reply then changes nothing.
 */
export type ShardTransform = (view: ShardView) => ShardChange;
