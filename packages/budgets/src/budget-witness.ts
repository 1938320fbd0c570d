import type { PeerHub } from "@ospreyreel/peer";
import type { BudgetNoteRequest, BudgetSealRequest, BudgetSealResponse } from "@ospreyreel/types";

interface NotedShard {
    epoch: number;
    sealed: boolean;
    readonly upTo: Map<string, number>;
}

/** Holds the bounds of other owners in memory while the KV service is unavailable, until a later owner seals them. */
export class BudgetWitness {
    private readonly shards = new Map<number, NotedShard>();

    /** Registers the handlers for notes of owners and seals of their successors. */
    serve(hub: PeerHub): void {
        hub.handle("budget.note", req => Promise.resolve({ taken: this.note(req) }));
        hub.handle("budget.seal", req => Promise.resolve(this.seal(req)));
    }

    /** Stores all notes of a request, or none; returns whether they are stored. */
    note({ notes }: BudgetNoteRequest): boolean {
        const refused = notes.some(({ shard, epoch }) => {
            const known = this.shards.get(shard);
            return known !== undefined && (known.epoch > epoch || (known.epoch === epoch && known.sealed));
        });
        if (refused) {
            return false;
        }
        for (const { shard, epoch, budget, upTo } of notes) {
            const { upTo: noted } = this.getShard(shard, epoch);
            noted.set(budget, Math.max(noted.get(budget) ?? 0, upTo));
        }
        return true;
    }

    /** Rejects notes up to the epoch from now on; returns the highest notes of that epoch, or the later epoch that is known. */
    seal({ shard, epoch }: BudgetSealRequest): BudgetSealResponse {
        const known = this.getShard(shard, epoch);
        if (known.epoch > epoch) {
            return { upTo: {}, laterEpoch: known.epoch };
        }
        known.sealed = true;
        return { upTo: Object.fromEntries(known.upTo) };
    }

    /** Returns the notes of an epoch or of a later known one; notes of earlier epochs are discarded. */
    private getShard(shard: number, epoch: number): NotedShard {
        const known = this.shards.get(shard);
        if (known !== undefined && known.epoch >= epoch) {
            return known;
        }
        const fresh = { epoch, sealed: false, upTo: new Map<string, number>() };
        this.shards.set(shard, fresh);
        return fresh;
    }
}
