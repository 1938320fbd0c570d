import type { KvEntry } from "./kv-entry.js";

/** All entries under a prefix. */
export interface KvSnapshot {
    readonly entries: readonly KvEntry[];
    /** Revision of the service from which no change is missed. */
    readonly at: number;
}

/** One change, with the revision that it made. */
export type KvChange =
    | { readonly kind: "put"; readonly entry: KvEntry; }
    | { readonly kind: "delete"; readonly key: string; readonly revision: number; };

/** Changes after a revision, oldest first. */
export interface KvChanges {
    readonly changes: readonly KvChange[];
    /** Revision to go on from. */
    readonly at: number;
}

/** Reads what is under a prefix and how it changes, one call at a time. Throws `kvUnavailable`. */
export abstract class KvChangeReader {
    /** Reads the whole prefix. */
    abstract readAll(prefix: string): Promise<KvSnapshot>;

    /**
     * Waits for changes after a revision, up to `waitMs` milliseconds; empty where none came. Undefined where the
     * history is no longer known, so that the prefix must be read anew.
     */
    abstract readChanges(prefix: string, after: number, waitMs: number): Promise<KvChanges | undefined>;
}
