import type { KvEntry } from "./kv-entry.js";

/** All entries under a prefix. */
export interface KvSnapshot {
    readonly entries: readonly KvEntry[];
    /** Revision of the service from which no change is missed. */
    readonly at: number;
}

/** A change and the revision that it created. */
export type KvChange =
    | { readonly kind: "put"; readonly entry: KvEntry; }
    | { readonly kind: "delete"; readonly key: string; readonly revision: number; };

/** Changes after a revision, oldest first. */
export interface KvChanges {
    readonly changes: readonly KvChange[];
    /** Revision to continue from. */
    readonly at: number;
}

/** Reads the entries under a prefix and their changes, one call at a time. Throws `kvUnavailable`. */
export abstract class KvChangeReader {
    /** Reads the whole prefix. */
    abstract readAll(prefix: string): Promise<KvSnapshot>;

    /**
     * Waits up to `waitMs` milliseconds for changes after a revision; empty where there are none. Undefined where the
     * history is no longer available, so that the prefix must be read again.
     */
    abstract readChanges(prefix: string, after: number, waitMs: number): Promise<KvChanges | undefined>;
}
