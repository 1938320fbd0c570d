import { hasResult, OspreyError } from "@ospreyreel/errors";
import type { KvClient, KvEntry, KvTxn } from "@ospreyreel/kv";
import type { Counters } from "@ospreyreel/telemetry";
import pLimit from "p-limit";
import { decodeBatch, decodeRecord, encodeBatch, encodeRecord } from "./codec.js";
import { emptyHead, type HeadRecord, type JournalMark } from "./head-record.js";
import type { JournalBatch, JournalEntry } from "./journal-entry.js";
import { JournalIndex } from "./journal-index.js";
import type { LedgerKeys } from "./ledger-keys.js";
import type { ShardGuard } from "./shard-guard.js";
import type { ShardTransform, ShardView } from "./shard-view.js";

/** Options of {@link ShardStore}. */
export interface ShardStoreOptions {
    readonly kv: KvClient;
    readonly keys: LedgerKeys;
    readonly shard: number;
    readonly counters: Counters;
    /** How long request keys are retained, in seconds. */
    readonly billWindowS: number;
    /** Clock for journal marks only, in milliseconds. */
    readonly now?: () => number;
}

const MAX_ATTEMPTS = 12;
/** Reads in the response to a refused transaction that precede those of the guards: the head and the journal. */
const FIXED_READS = 2;
const CONTENDED_CACHE_MS = 100;
const MARK_INTERVAL_MS = 60_000;
const MS_PER_S = 1_000;

/** One shard's head and journal: cached reads and compare-and-swap writes, one at a time. */
export class ShardStore {
    private head: HeadRecord = emptyHead;
    private modRevision = 0;
    private isLoaded = false;
    /** Whether a write was refused because another instance had written the head. */
    private isContended = false;
    private readAtMs = -Infinity;
    private index = new JournalIndex();
    private readonly runExclusive = pLimit(1);
    /** Revision of the head against which a write with unknown outcome was sent; it may still take effect. */
    private unsettledRevision: number | undefined;

    constructor(private readonly opts: ShardStoreOptions) {}

    /** The last view read or written; undefined before the first, or while a write has an unknown outcome. */
    getView(): ShardView | undefined {
        return this.isLoaded && this.unsettledRevision !== this.modRevision ? this.view() : undefined;
    }

    /** Reads the shard again. Throws `kvUnavailable`. */
    async refresh(): Promise<ShardView> {
        return await this.runExclusive(async () => {
            await this.load();
            return this.view();
        });
    }

    /**
     * Applies a transform to the newest record and returns the resulting view. Throws `kvUnavailable` where nothing was
     * written, `kvOutcomeUnknown`, and the errors of the guards.
     */
    async commit(transform: ShardTransform, guards: readonly ShardGuard[] = []): Promise<ShardView> {
        return await this.runExclusive(() => this.commitNow(transform, guards));
    }

    private async commitNow(transform: ShardTransform, guards: readonly ShardGuard[]): Promise<ShardView> {
        for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            if (!this.isLoaded || (attempt === 0 && this.isLikelyStale())) {
                await this.load();
            }
            const change = transform(this.view());
            // While an earlier write may still take effect, only a further write makes the record's state certain.
            if (change.head === undefined && this.unsettledRevision !== this.modRevision) {
                return this.view();
            }
            if (await this.tryWrite(change.head ?? this.head, change.entries, guards)) {
                return this.view();
            }
        }
        throw new OspreyError("the shard's record kept changing", { result: "kvUnavailable" });
    }

    /** A record that others write too has probably changed; a read costs the service less than a refused write. */
    private isLikelyStale(): boolean {
        return this.isContended && performance.now() - this.readAtMs > CONTENDED_CACHE_MS;
    }

    private async tryWrite(
        head: HeadRecord,
        entries: readonly JournalEntry[],
        guards: readonly ShardGuard[],
    ): Promise<boolean> {
        const atMs = (this.opts.now ?? Date.now)();
        const seq = entries.length === 0 ? head.seq : head.seq + 1;
        const marks = this.getMarks(head.marks, seq, atMs);
        const next: HeadRecord = { ...head, seq, marks: marks.kept };
        const batch: JournalBatch = { atMs, entries };
        const txn = this.getTxn(next, entries.length === 0 ? undefined : batch, marks.prunedSeq, guards);
        const sentAgainst = this.modRevision;
        try {
            const result = await this.opts.kv.txn(txn);
            if (result.succeeded) {
                this.head = next;
                this.modRevision = result.revision;
                this.unsettledRevision = undefined;
                this.readAtMs = performance.now();
                if (entries.length > 0) {
                    this.index.add(seq, batch);
                }
                this.index.prune(marks.prunedSeq);
                return true;
            }
            this.opts.counters.add("ledger_conflicts");
            this.isContended = true;
            this.adoptReads(result.reads[0]?.[0], result.reads[1] ?? []);
            guards.forEach((guard, index) => guard.recheck(result.reads[FIXED_READS + index]?.[0]));
        }
        catch (err) {
            if (!hasResult(err, "kvOutcomeUnknown")) {
                throw err;
            }
            this.unsettledRevision = sentAgainst;
            this.isLoaded = false;
            this.opts.counters.add("ledger_unknown_writes");
            await this.load();
            return false;
        }
        return false;
    }

    private getTxn(
        head: HeadRecord,
        batch: JournalBatch | undefined,
        prunedSeq: number,
        guards: readonly ShardGuard[],
    ): KvTxn {
        const { keys, shard } = this.opts;
        const headKey = keys.head(shard);
        const puts = [{ key: headKey, value: encodeRecord(head) }];
        if (batch !== undefined) {
            puts.push({ key: keys.batch(shard, head.seq), value: encodeBatch(batch) });
        }
        const deletes = prunedSeq === 0 ? [] : [{ key: keys.journal(shard), endKey: keys.batch(shard, prunedSeq + 1) }];
        return {
            compares: [{ key: headKey, modRevision: this.modRevision }, ...guards.map(guard => guard.getCompare())],
            puts,
            deletes,
            onFailure: [{ key: headKey }, {
                key: keys.batch(shard, this.index.seq + 1),
                endKey: keys.journalEnd(shard),
            }, ...guards.map(guard => ({ key: guard.getCompare().key }))],
        };
    }

    private getMarks(
        marks: readonly JournalMark[],
        seq: number,
        atMs: number,
    ): { readonly kept: readonly JournalMark[]; readonly prunedSeq: number; } {
        const horizon = atMs - this.opts.billWindowS * MS_PER_S;
        const last = marks.at(-1);
        const all = last === undefined || atMs - last.atMs >= MARK_INTERVAL_MS ? [...marks, { seq, atMs }] : marks;
        const kept = all.filter(mark => mark.atMs >= horizon);
        const pruned = all.filter(mark => mark.atMs < horizon).at(-1);
        return { kept, prunedSeq: pruned?.seq ?? 0 };
    }

    private async load(): Promise<void> {
        const { kv, keys, shard } = this.opts;
        const headEntry = await kv.get(keys.head(shard));
        const batches = await kv.range(keys.journal(shard), { after: keys.batch(shard, this.index.seq) });
        this.adoptReads(headEntry, batches);
    }

    private adoptReads(headEntry: KvEntry | undefined, batches: readonly KvEntry[]): void {
        this.head = headEntry === undefined ? emptyHead : decodeRecord<HeadRecord>(headEntry.value);
        this.modRevision = headEntry?.modRevision ?? 0;
        for (const entry of batches) {
            const seq = Number(entry.key.slice(entry.key.lastIndexOf("/") + 1));
            // The range may be newer than the head; batches beyond it are read with the next head.
            if (seq <= this.head.seq) {
                this.index.add(seq, decodeBatch(entry.value));
            }
        }
        this.isLoaded = true;
        this.readAtMs = performance.now();
    }

    private view(): ShardView {
        return {
            head: this.head,
            modRevision: this.modRevision,
            bills: this.index.bills,
            claims: this.index.claims,
        };
    }
}
