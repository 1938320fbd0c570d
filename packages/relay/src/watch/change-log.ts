import type { KvChange, KvChanges, KvEntry, KvSnapshot } from "@ospreyreel/kv";

/** Maximum number of removed keys that are stored; enough for some releases of a large service. */
const MAX_REMOVED = 1_000;

/** Whether an update of an entry is irrelevant to readers, such as a target's heartbeat. */
export type IsIrrelevantUpdate = (before: KvEntry, after: KvEntry) => boolean;

/** Entries and removed keys of one prefix, and the revision up to which they are complete. */
export class ChangeLog {
    private readonly entries = new Map<string, KvEntry>();
    /** Removed keys with the revision of their removal, oldest first. */
    private readonly removed = new Map<string, number>();
    /** Individual changes are only known after this revision. */
    private firstRevision = Number.POSITIVE_INFINITY;
    private completeToRevision: number | undefined;

    constructor(private readonly isIrrelevantUpdate: IsIrrelevantUpdate) {}

    /** Revision up to which all changes are known; undefined before the first read. */
    get at(): number | undefined {
        return this.completeToRevision;
    }

    /** All entries, without the irrelevant updates. */
    get snapshot(): KvSnapshot {
        return { entries: [...this.entries.values()], at: this.completeToRevision ?? 0 };
    }

    /** Replaces all entries by a snapshot of the prefix. */
    replace({ entries, at }: KvSnapshot): void {
        const listed = new Set(entries.map(entry => entry.key));
        for (const key of [...this.entries.keys()].filter(known => !listed.has(known))) {
            this.remove(key, at);
        }
        entries.forEach(entry => this.put(entry));
        this.firstRevision = Math.min(this.firstRevision, at);
        this.completeToRevision = at;
    }

    /** Applies changes and returns them without irrelevant updates. */
    apply({ changes, at }: KvChanges): KvChanges {
        const relevant = changes.filter(change =>
            change.kind === "put" ? this.put(change.entry) : this.remove(change.key, change.revision)
        );
        this.completeToRevision = at;
        return { changes: relevant, at };
    }

    /** Changes after a revision, each key once; undefined where they are no longer known. */
    getSince(after: number): KvChanges | undefined {
        if (this.completeToRevision === undefined || after < this.firstRevision) {
            return undefined;
        }
        const puts = [...this.entries.values()].filter(entry => entry.modRevision > after)
            .map((entry): KvChange => ({ kind: "put", entry }));
        const deletes = [...this.removed].filter(([, revision]) => revision > after)
            .map(([key, revision]): KvChange => ({ kind: "delete", key, revision }));
        return { changes: [...deletes, ...puts], at: this.completeToRevision };
    }

    /** Applies an entry; returns false if it is outdated or irrelevant. */
    private put(entry: KvEntry): boolean {
        const before = this.entries.get(entry.key);
        if (
            before !== undefined && (entry.modRevision <= before.modRevision || this.isIrrelevantUpdate(before, entry))
        ) {
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
            this.firstRevision = Math.max(this.firstRevision, oldest[1]);
        }
        return known;
    }
}
