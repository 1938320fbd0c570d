/** One key as stored; keys are byte strings, one character a byte. */
export interface StoredEntry {
    readonly key: string;
    /** Base64, as it came. */
    readonly value: string;
    readonly createRevision: number;
    readonly modRevision: number;
    readonly version: number;
    readonly lease: string;
}

/** One change that a write made. */
export type StoreChange =
    | { readonly kind: "put"; readonly entry: StoredEntry; }
    | { readonly kind: "delete"; readonly key: string; readonly modRevision: number; };

/** A write of one transaction; a range end makes a delete cover `key` up to but without `end`. */
export type StoreWrite =
    | { readonly kind: "put"; readonly key: string; readonly value: string; readonly lease: string; }
    | { readonly kind: "delete"; readonly key: string; readonly end: string | undefined; };

/** Range end that means: all keys from the first one on. */
const NO_END = "\0";

/** Whether a key is in a range of the gateway's kind. */
export const inRange = (key: string, from: string, end: string | undefined): boolean => {
    if (end === undefined) {
        return key === from;
    }
    return key >= from && (end === NO_END || key < end);
};

/** Keys in byte order with the revision of their last change. */
export class EtcdStore {
    private readonly entries = new Map<string, StoredEntry>();
    private readonly order: string[] = [];
    private currentRevision = 1;

    /** Grows by one with each commit that changes something. */
    get revision(): number {
        return this.currentRevision;
    }

    /** Reads one key. */
    get(key: string): StoredEntry | undefined {
        return this.entries.get(key);
    }

    /** Reads a key or a range; limit 0 means all. */
    range(key: string, end: string | undefined, limit = 0): readonly StoredEntry[] {
        if (end === undefined) {
            const entry = this.entries.get(key);
            return entry === undefined ? [] : [entry];
        }
        const first = this.indexOf(key);
        const last = end === NO_END ? this.order.length : Math.max(first, this.indexOf(end));
        const stop = limit > 0 ? Math.min(last, first + limit) : last;
        return this.order.slice(first, stop).flatMap(found => this.entries.get(found) ?? []);
    }

    /** Applies the writes of one transaction at one new revision. */
    commit(writes: readonly StoreWrite[]): readonly StoreChange[] {
        const revision = this.currentRevision + 1;
        const changes = writes.flatMap(write =>
            write.kind === "put" ? [this.put(write, revision)] : this.remove(write.key, write.end, revision)
        );
        if (changes.length > 0) {
            this.currentRevision = revision;
        }
        return changes;
    }

    /** Keys bound to a lease. */
    keysOfLease(lease: string): readonly string[] {
        return [...this.entries.values()].filter(entry => entry.lease === lease).map(entry => entry.key);
    }

    private put(write: { key: string; value: string; lease: string; }, revision: number): StoreChange {
        const before = this.entries.get(write.key);
        if (before === undefined) {
            this.order.splice(this.indexOf(write.key), 0, write.key);
        }
        const entry: StoredEntry = {
            ...write,
            createRevision: before?.createRevision ?? revision,
            modRevision: revision,
            version: (before?.version ?? 0) + 1,
        };
        this.entries.set(write.key, entry);
        return { kind: "put", entry };
    }

    private remove(from: string, end: string | undefined, revision: number): StoreChange[] {
        return this.range(from, end).map(({ key }) => {
            this.entries.delete(key);
            this.order.splice(this.indexOf(key), 1);
            return { kind: "delete", key, modRevision: revision };
        });
    }

    /** Index of the first key that is not below the given one. */
    private indexOf(key: string): number {
        let low = 0;
        let high = this.order.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if ((this.order[middle] ?? "") < key) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}
