import type { PeerHub } from "@ospreyreel/peer";
import { BorrowedBudget, type HoldResult } from "./borrowed-budget.js";
import { BudgetOwner, type BudgetOwnerOptions } from "./budget-owner.js";
import { BudgetWitness } from "./budget-witness.js";
import { OwnerFinder } from "./owner-finder.js";

/** A budget in the state dump. */
export interface BudgetView {
    readonly budget: string;
    readonly epoch: number;
    readonly spent: number;
    readonly window: number;
    readonly limit: number;
    readonly noted: number;
    /** Total use that no copy of the KV service can hide; no more is handed out. */
    readonly ceiling: number;
}

/** The roles of one instance for prepaid budgets: owner, witness and borrower. */
export class FleetBudgets {
    private readonly owner: BudgetOwner;
    private readonly witness = new BudgetWitness();
    private readonly finder: OwnerFinder;
    private readonly borrowed = new Map<string, BorrowedBudget>();
    private readonly hub: PeerHub;
    private readonly isKvAvailable: () => boolean;

    constructor(opts: BudgetOwnerOptions) {
        this.hub = opts.hub;
        this.isKvAvailable = opts.isKvAvailable;
        this.owner = new BudgetOwner(opts, this.witness);
        this.finder = new OwnerFinder({ hub: opts.hub, owner: this.owner });
    }

    /** Registers the request handlers for peers. */
    serve(): void {
        this.owner.serve();
        this.witness.serve(this.hub);
    }

    /** Makes the budgets of a desired state known; may be called with the same ones again. */
    async register(budgets: readonly string[]): Promise<void> {
        await this.owner.register(budgets);
    }

    /** Holds tokens of a budget for a request. */
    async hold(budget: string, tokens: number): Promise<HoldResult> {
        return await this.getBorrowed(budget).hold(tokens);
    }

    /** Releases held tokens that were not used. */
    release(budget: string, tokens: number): void {
        this.getBorrowed(budget).release(tokens);
    }

    /** Releases the owned budgets, for a graceful stop; returns whether all are released. */
    async releaseOwnership(): Promise<boolean> {
        return await this.owner.releaseOwnership();
    }

    /** Earliest era of the KV service in which budgets without a record can have been used, as last read here. */
    get firstEra(): number | undefined {
        return this.owner.knownFirstEra;
    }

    /** The budgets owned here. */
    list(): readonly BudgetView[] {
        return this.owner.list().flatMap(({ epoch, budgets }) =>
            [...budgets.values()].map(({ name, spent, confirmed, noted, ceilings }) => ({
                budget: name,
                epoch,
                spent,
                window: confirmed.window,
                limit: confirmed.limit,
                noted,
                ceiling: ceilings.usable,
            }))
        );
    }

    private getBorrowed(budget: string): BorrowedBudget {
        const known = this.borrowed.get(budget) ?? new BorrowedBudget({
            name: budget,
            draw: req => this.finder.draw(req),
            isKvAvailable: this.isKvAvailable,
        });
        this.borrowed.set(budget, known);
        return known;
    }
}
