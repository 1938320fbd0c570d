import type { BudgetBounds } from "./shard-record.js";

/** What may have been used of a budget beyond the record that the KV service came back with. */
export interface LostUse {
    /** Total use to count. */
    readonly used: number;
    /** Total use that whoever reads the same record after one more restore counts. */
    readonly ceiling: number;
}

/**
 * Computes how much to count where a record may be older than the use of its budget. Each restore since its writing may have
 * lost an owner, which began with half of what was left before any of its own records was in each copy.
 */
export const getLostUse = (ceiling: number, prepaid: number, restores: number): LostUse => {
    const remaining = Math.max(0, prepaid - ceiling);
    return {
        used: ceiling + Math.ceil(remaining * (1 - 2 ** (1 - restores))),
        ceiling: ceiling + Math.floor(remaining * (1 - 2 ** -restores)),
    };
};

/** Bounds of a budget whose use is known exactly. */
export const toExactBounds = (used: number): BudgetBounds => ({ window: used, limit: used });
