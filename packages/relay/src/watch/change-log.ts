import type { KvChange, KvChanges, KvEntry, KvSnapshot } from "@ospreyreel/kv";

/** Removed keys that are remembered; some releases of a large service. */
const MAX_REMOVED = 1_000;

/** Whether a change of an entry tells readers nothing, such as a target's heartbeat. */
export type IsNoise = (before: KvEntry, after: KvEntry) => boolean;

/** What is known of one prefix: its entries, what was removed, and up to which revision that is complete. */
export class ChangeLog {
    private readonly entries = new Map<string, KvEntry>();
    /** Removed keys with the revision of their removal, oldest first. */
    private readonly removed = new Map<string, number>();
    /** Changes up to this revision can't be told one by one. */
    private startsAt = Number.POSITIVE_INFINITY;
    private completeTo: number | undefined;

    constructor(private readonly isNoise: IsNoise) {}

    /** Revision up to which all is known; undefined before the first read. */
    get at(): number | undefined {
        return this.completeTo;
    }

    /** All entries, without those that only noise has changed since. */
    get snapshot(): KvSnapshot {
        return { entries: [...this.entries.values()], at: this.completeTo ?? 0 };
    }

    /** Takes a whole prefix. */
    replace({ entries, at }: KvSnapshot): void {
        const listed = new Set(entries.map(entry => entry.key));
        for (const key of [...this.entries.keys()].filter(known => !listed.has(known))) {
            this.remove(key, at);
        }
        entries.forEach(entry => this.put(entry));
        this.startsAt = Math.min(this.startsAt, at);
        this.completeTo = at;
    }

    /** Takes changes and returns them without the noise. */
    apply({ changes, at }: KvChanges): KvChanges {
        const told = changes.filter(change =>
            change.kind === "put" ? this.put(change.entry) : this.remove(change.key, change.revision)
        );
        this.completeTo = at;
        return { changes: told, at };
    }

    /** What changed after a revision, each key once; undefined where that is no longer known. */
    getSince(after: number): KvChanges | undefined {
        if (this.completeTo === undefined || after < this.startsAt) {
            return undefined;
        }
        const puts = [...this.entries.values()].filter(entry => entry.modRevision > after)
            .map((entry): KvChange => ({ kind: "put", entry }));
        const deletes = [...this.removed].filter(([, revision]) => revision > after)
            .map(([key, revision]): KvChange => ({ kind: "delete", key, revision }));
        return { changes: [...deletes, ...puts], at: this.completeTo };
    }

    /** Takes an entry; false where it tells nothing new. */
    private put(entry: KvEntry): boolean {
        const before = this.entries.get(entry.key);
        if (before !== undefined && (entry.modRevision <= before.modRevision || this.isNoise(before, entry))) {
            return false;
        }
        this.removed.delete(entry.key);
        this.entries.set(entry.key, entry);
        return true;
    }

    private remove(key: string, revision: number): boolean {
        const known = this.entries.delete(key);
        this.removed.delete(key);
        this.removed.set(key, revision);
        const [oldest] = this.removed;
        if (this.removed.size > MAX_REMOVED && oldest !== undefined) {
            this.removed.delete(oldest[0]);
            this.startsAt = Math.max(this.startsAt, oldest[1]);
        }
        return known;
    }
}
