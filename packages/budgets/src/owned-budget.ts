import type { BudgetDrawRequest } from "@ospreyreel/types";
import type { BudgetBounds } from "./shard-record.js";
import { UsageMeter } from "./usage-meter.js";

/** What one borrower has got and given back in this epoch. */
interface Borrower {
    seq: number;
    handed: number;
    returned: number;
}

/** One budget at its owner. */
export class OwnedBudget {
    readonly meter = new UsageMeter();
    /** Bounds that the KV service certainly holds. */
    confirmed: BudgetBounds;
    /** Lowest limit that the KV service may hold while a write is on its way. */
    limitCap: number;
    private handedOut: number;
    private highestNote = 0;
    private readonly borrowers = new Map<string, Borrower>();

    constructor(readonly name: string, bounds: BudgetBounds) {
        this.confirmed = bounds;
        this.limitCap = bounds.limit;
        this.handedOut = bounds.window;
    }

    /** Tokens handed out and not given back, those of earlier epochs included. */
    get spent(): number {
        return this.handedOut;
    }

    /** Highest note that enough witnesses keep; 0 without one. */
    get noted(): number {
        return this.highestNote;
    }

    /**
     * Counts a note that enough witnesses took. One beyond the limit of a write that was sent meanwhile does not count,
     * since that write may already stand in the KV service.
     */
    takeNote(upTo: number): boolean {
        if (upTo > this.limitCap) {
            return false;
        }
        this.highestNote = Math.max(this.highestNote, upTo);
        return true;
    }

    /** Total use up to which tokens may be handed out now. */
    get usable(): number {
        return Math.max(this.confirmed.window, this.highestNote);
    }

    /** Takes a borrower's counts; false where the request is older than one that was taken. */
    reconcile(borrowerId: string, req: BudgetDrawRequest, epoch: number): boolean {
        const borrower = this.borrowers.get(borrowerId) ?? { seq: 0, handed: 0, returned: 0 };
        if (req.seq <= borrower.seq) {
            return false;
        }
        const counts = req.epoch === epoch ? req : { received: 0, returned: 0 };
        // What the borrower says it never received was lost on the way, and it drops late answers.
        const lost = borrower.handed - counts.received;
        const returned = counts.returned - borrower.returned;
        this.handedOut -= lost + returned;
        this.borrowers.set(borrowerId, { seq: req.seq, handed: counts.received, returned: counts.returned });
        return true;
    }

    /** Sets tokens aside before they are covered by the bounds. */
    reserve(tokens: number): void {
        this.handedOut += tokens;
    }

    /** Takes back what was set aside and not handed out. */
    release(tokens: number): void {
        this.handedOut -= tokens;
    }

    /** Notes that tokens which were set aside go to a borrower. */
    hand(borrowerId: string, tokens: number): void {
        const borrower = this.borrowers.get(borrowerId);
        if (borrower !== undefined) {
            borrower.handed += tokens;
        }
        this.meter.note(tokens);
    }
}
