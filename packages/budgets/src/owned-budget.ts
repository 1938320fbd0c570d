import type { BudgetDrawRequest } from "@ospreyreel/types";
import type { BudgetBounds } from "./shard-record.js";
import { UsageMeter } from "./usage-meter.js";
import type { UseCeilings } from "./use-ceilings.js";

/** Tokens that one borrower received and returned in this epoch. */
interface Borrower {
    readonly seq: number;
    handed: number;
    readonly returned: number;
    /** Whether it has counted tokens of this epoch. */
    readonly hasCounted: boolean;
}

/** One budget at its owner. */
export class OwnedBudget {
    readonly meter = new UsageMeter();
    /** Bounds that the KV service certainly holds. */
    confirmed: BudgetBounds;
    /** Lowest limit that the KV service may hold while a write is in flight. */
    limitCap: number;
    /** Total use that a draw needed which the ceilings did not cover; 0 where there is none. */
    uncoveredUse = 0;
    private handedOut: number;
    private highestNote = 0;
    private readonly borrowers = new Map<string, Borrower>();
    private readonly ownedSinceMs = performance.now();

    constructor(
        readonly name: string,
        bounds: BudgetBounds,
        readonly ceilings: UseCeilings,
        /** Whether no earlier owner is known. */
        readonly isFirstOwner = false,
    ) {
        this.confirmed = bounds;
        this.limitCap = bounds.limit;
        this.handedOut = bounds.window;
    }

    /** Tokens handed out and not returned, those of earlier epochs included. */
    get spent(): number {
        return this.handedOut;
    }

    /** Highest note that a quorum of witnesses holds; 0 without one. */
    get noted(): number {
        return this.highestNote;
    }

    /**
     * Counts a note that a quorum of witnesses accepted. Returns false for one beyond the limit of a write that was
     * sent in the meantime, since the KV service may already hold that write.
     */
    acceptNote(upTo: number): boolean {
        if (upTo > this.limitCap) {
            return false;
        }
        this.highestNote = Math.max(this.highestNote, upTo);
        return true;
    }

    /** Total use up to which tokens may be handed out now. */
    get usable(): number {
        return Math.min(Math.max(this.confirmed.window, this.highestNote), this.ceilings.usable);
    }

    /** Time for which its use has been measured here, in milliseconds. */
    get measuredMs(): number {
        return performance.now() - this.ownedSinceMs;
    }

    /**
     * Applies a borrower's counts. Returns false where the request is not newer than the last one that was applied, or where its
     * counts are of a later owner.
     */
    reconcile(borrowerId: string, req: BudgetDrawRequest, epoch: number): boolean {
        const borrower = this.borrowers.get(borrowerId) ?? { seq: 0, handed: 0, returned: 0, hasCounted: false };
        if (req.seq <= borrower.seq || req.epoch > epoch) {
            return false;
        }
        const { seq } = req;
        if (req.epoch < epoch && borrower.hasCounted) {
            // The borrower went back to an earlier owner's epoch; what it had of this one is not known and stays spent.
            this.borrowers.set(borrowerId, { seq, handed: 0, returned: 0, hasCounted: true });
            return true;
        }
        const hasCounted = req.epoch === epoch;
        const { received, returned } = hasCounted ? req : { received: 0, returned: 0 };
        // Tokens that the borrower never received were lost in transit: it discards late responses.
        const lost = borrower.handed - received;
        this.handedOut -= lost + returned - borrower.returned;
        this.borrowers.set(borrowerId, { seq, handed: received, returned, hasCounted });
        return true;
    }

    /** Reserves tokens before the bounds cover them. */
    reserve(tokens: number): void {
        this.handedOut += tokens;
    }

    /** Releases reserved tokens that were not handed out. */
    release(tokens: number): void {
        this.handedOut -= tokens;
    }

    /** Records that reserved tokens were handed out to a borrower. */
    handOut(borrowerId: string, tokens: number): void {
        const borrower = this.borrowers.get(borrowerId);
        if (borrower !== undefined) {
            borrower.handed += tokens;
        }
        this.meter.add(tokens);
        this.uncoveredUse = 0;
    }
}
