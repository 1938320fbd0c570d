import type { Bill, FinishEntry, Intent } from "@ospreyreel/types";

/** A finish that the copy holder does not have yet. */
export interface UnconfirmedFinish {
    readonly entry: FinishEntry;
    readonly reserved: number;
}

/** Finishes of one incarnation in one shard that are not in the key-value service yet. */
export class PendingFinishes {
    /** Confirmed finishes in the order of their numbers. */
    private confirmed: readonly FinishEntry[] = [];
    private readonly unconfirmed = new Map<number, UnconfirmedFinish>();
    private nextFinishSeq = 1;

    /** Number of confirmed finishes. */
    get size(): number {
        return this.confirmed.length;
    }

    /** Creates a finish with the next number; it is unconfirmed. */
    add(intent: Intent, tokens: number, bill: Bill | undefined): FinishEntry {
        const { id: intentId, budget, reserved } = intent;
        const entry: FinishEntry = { kind: "finish", intentId, budget, finishSeq: this.nextFinishSeq++, tokens, bill };
        this.unconfirmed.set(entry.finishSeq, { entry, reserved });
        return entry;
    }

    /** Records that the copy holder has a finish and returns the finish; undefined where it was confirmed before. */
    confirm(finishSeq: number): UnconfirmedFinish | undefined {
        const finish = this.unconfirmed.get(finishSeq);
        if (finish === undefined) {
            return undefined;
        }
        this.unconfirmed.delete(finishSeq);
        this.confirmed = [...this.confirmed, finish.entry].toSorted((one, other) => one.finishSeq - other.finishSeq);
        return finish;
    }

    /** All finishes, confirmed or not. */
    list(): readonly FinishEntry[] {
        return [...this.confirmed, ...[...this.unconfirmed.values()].map(finish => finish.entry)];
    }

    /** Finishes below the first unconfirmed one, since the record states by one number which finishes it includes. */
    getSettleable(): readonly FinishEntry[] {
        const first = Math.min(Infinity, ...this.unconfirmed.keys());
        return this.confirmed.filter(finish => finish.finishSeq < first);
    }

    /** Removes confirmed finishes up to a number; returns whether there were any. */
    drop(finishSeq: number): boolean {
        const before = this.confirmed.length;
        this.confirmed = this.confirmed.filter(finish => finish.finishSeq > finishSeq);
        return this.confirmed.length < before;
    }

    /** Removes all confirmed finishes. */
    clear(): void {
        this.confirmed = [];
    }
}
