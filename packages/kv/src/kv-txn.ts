import type { KvEntry } from "./kv-entry.js";

/** Holds if the key was last changed at this revision; 0 means that the key is absent. */
export interface KvCompare {
    readonly key: string;
    readonly modRevision: number;
}

/** Writes a key, optionally bound to a lease. */
export interface KvPut {
    readonly key: string;
    readonly value: Uint8Array;
    readonly leaseId?: string;
}

/** Deletes one key, or with `endKey` all keys from `key` up to but without `endKey`. */
export interface KvDelete {
    readonly key: string;
    readonly endKey?: string;
}

/** Reads one key, or with `endKey` a range, when a compare failed. */
export interface KvRead {
    readonly key: string;
    readonly endKey?: string;
}

/** An atomic transaction. */
export interface KvTxn {
    readonly compares: readonly KvCompare[];
    readonly puts?: readonly KvPut[];
    readonly deletes?: readonly KvDelete[];
    /** Reads returned by the same call when a compare fails. */
    readonly onFailure?: readonly KvRead[];
}

/** Result of a transaction. */
export interface KvTxnResult {
    readonly succeeded: boolean;
    /** Revision of the service after the transaction; the new modRevision of each key put. */
    readonly revision: number;
    /** One list for each entry of `onFailure`; empty when all compares held. */
    readonly reads: readonly (readonly KvEntry[])[];
}
