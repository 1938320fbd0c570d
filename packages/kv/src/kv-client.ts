import type { Stream } from "most";
import type { KvEntry } from "./kv-entry.js";
import type { KvEvent } from "./kv-event.js";
import { KvHistory } from "./kv-history.js";
import type { KvTxn, KvTxnResult } from "./kv-txn.js";

/** Options of a range read. */
export interface RangeOptions {
    /** Only keys after this one, in byte order. */
    readonly after?: string;
    /** Maximum number of entries to return. */
    readonly limit?: number;
}

/**
 * Client of the platform's key-value service.
 *
 * Reads throw `kvUnavailable`. Writes throw `kvUnavailable` only where the call certainly had no effect, and
 * `kvOutcomeUnknown` where it may have had one.
 */
export abstract class KvClient {
    /** Eras of the service's data, as its responses tell them. */
    readonly history: KvHistory = new KvHistory();

    /** Reads one key. */
    abstract get(key: string): Promise<KvEntry | undefined>;

    /** Reads all keys that start with a prefix, in byte order. */
    abstract range(prefix: string, opts?: RangeOptions): Promise<readonly KvEntry[]>;

    /** Applies puts and deletes if all compares hold; otherwise returns the requested reads. */
    abstract txn(txn: KvTxn): Promise<KvTxnResult>;

    /** Creates a lease with a TTL in seconds. Returns its id. */
    abstract grantLease(ttlS: number): Promise<string>;

    /** Renews a lease; returns the remaining seconds, 0 where it has expired. */
    abstract keepLeaseAlive(leaseId: string): Promise<number>;

    /** Ends a lease and deletes its keys. */
    abstract revokeLease(leaseId: string): Promise<void>;

    /** Watches changes under a prefix; reconnects by itself and reports each reconnect as an event of kind `resync`. */
    abstract watch(prefix: string): Stream<KvEvent>;

    /** Ends watches and connections. */
    abstract close(): Promise<void>;
}
