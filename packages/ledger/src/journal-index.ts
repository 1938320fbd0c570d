import type { StreamRef } from "@ospreyreel/types";
import { type Claim, getJournalKey, type JournalBatch } from "./journal-entry.js";

/** Index entry of a billed request. */
export interface BilledRequest {
    /** Stream of the completion while it can be read; undefined for plain services and once engines have dropped it. */
    readonly stream: StreamRef | undefined;
}

interface IndexedBatch {
    readonly seq: number;
    readonly atMs: number;
    readonly keys: readonly string[];
}

/** Engines retain a stream for about a minute after its end. */
const STREAM_RETENTION_MS = 180_000;
const WITHOUT_STREAM: BilledRequest = { stream: undefined };

/** Billed and claimed requests of the journal's window. Entries are small, since each request of the window has one. */
export class JournalIndex {
    /** By journal key. */
    readonly bills = new Map<string, BilledRequest>();
    /** By journal key. */
    readonly claims = new Map<string, Claim>();
    private readonly batches: IndexedBatch[] = [];
    private last = 0;
    /** Number of the last batch whose streams were dropped. */
    private lastDropped = 0;

    /** Number of the last batch read. */
    get seq(): number {
        return this.last;
    }

    /** Adds a batch; one that is known already is ignored. */
    add(seq: number, batch: JournalBatch): void {
        if (seq <= this.last) {
            return;
        }
        this.last = seq;
        const keys = batch.entries.map(entry => {
            if (entry.kind === "bill") {
                const { team, requestKey, stream } = entry.bill;
                const key = getJournalKey(team, requestKey);
                this.bills.set(key, stream === undefined ? WITHOUT_STREAM : { stream });
                return key;
            }
            const key = getJournalKey(entry.claim.team, entry.claim.requestKey);
            this.claims.set(key, entry.claim);
            return key;
        });
        this.batches.push({ seq, atMs: batch.atMs, keys });
        this.dropStreams(batch.atMs - STREAM_RETENTION_MS);
    }

    /** Removes batches up to a number. */
    prune(seq: number): void {
        const count = this.batches.findIndex(batch => batch.seq > seq);
        const old = this.batches.splice(0, count === -1 ? this.batches.length : count);
        for (const key of old.flatMap(batch => batch.keys)) {
            this.bills.delete(key);
            this.claims.delete(key);
        }
    }

    private dropStreams(beforeMs: number): void {
        for (const batch of this.batches.filter(({ seq, atMs }) => seq > this.lastDropped && atMs < beforeMs)) {
            this.lastDropped = batch.seq;
            batch.keys.filter(key => this.bills.has(key)).forEach(key => this.bills.set(key, WITHOUT_STREAM));
        }
    }
}
