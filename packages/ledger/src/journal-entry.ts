import type { Bill } from "@ospreyreel/types";
import { createHash } from "node:crypto";

/** A non-idempotent request that one incarnation may run. */
export interface Claim {
    readonly team: string;
    readonly requestKey: string;
    readonly incarnation: string;
    /** Distinguishes two attempts of one incarnation. */
    readonly intentId: string;
}

/** One entry of a shard's journal. */
export type JournalEntry =
    | { readonly kind: "bill"; readonly bill: Bill; }
    | { readonly kind: "claim"; readonly claim: Claim; };

/** One immutable batch, written in the same transaction as the head. */
export interface JournalBatch {
    /** Milliseconds since the epoch. */
    readonly atMs: number;
    readonly entries: readonly JournalEntry[];
}

const KEY_BYTES = 16;

/** Key of a request in the journal's indexes: a hash, so that each key takes the same few bytes. */
export const getJournalKey = (team: string, requestKey: string): string =>
    createHash("sha256").update(`${team}\n${requestKey}`).digest().toString("latin1", 0, KEY_BYTES);
