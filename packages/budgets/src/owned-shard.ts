import { OwnedBudget } from "./owned-budget.js";
import type { BudgetBounds, ShardRecord } from "./shard-record.js";
import type { BudgetNumbers, WindowPolicy } from "./window-policy.js";

/** One shard of budgets at its owner. */
export class OwnedShard {
    readonly budgets = new Map<string, OwnedBudget>();
    /** Whether the KV service may hold another record than the one known here, so that it is read before a write. */
    isDoubtful = false;
    /** Whether a write whose outcome is not known may still take effect. */
    private hasUnsettledWrite = false;
    /** Whether a write that may take effect names other witnesses than those in force. */
    private mayChangeWitnesses = false;

    constructor(
        readonly shard: number,
        public record: ShardRecord,
        public revision: number,
    ) {
        for (const [name, bounds] of Object.entries(record.budgets)) {
            this.budgets.set(name, new OwnedBudget(name, bounds));
        }
    }

    /** Epoch of the ownership. */
    get epoch(): number {
        return this.record.epoch;
    }

    /** The budget of a name; a new one begins without any use. */
    getBudget(name: string): OwnedBudget {
        const known = this.budgets.get(name) ?? new OwnedBudget(name, { window: 0, limit: 0 });
        this.budgets.set(name, known);
        return known;
    }

    /** Numbers of a budget for the policy. */
    getNumbers(budget: OwnedBudget, prepaid: number): BudgetNumbers {
        return {
            prepaid,
            spent: budget.spent,
            ratePerS: budget.meter.ratePerS,
            usualRatePerS: budget.meter.usualRatePerS,
            window: budget.confirmed.window,
            noted: budget.noted,
        };
    }

    /** Makes the next record and keeps the lower limits until it is known which one holds. */
    prepare(
        policy: WindowPolicy,
        getPrepaid: (budget: string) => number,
        witnesses: readonly string[],
    ): ShardRecord {
        const bounds = [...this.budgets.values()].map((budget): [string, BudgetBounds] => {
            const next = policy.getBounds(this.getNumbers(budget, getPrepaid(budget.name)));
            budget.limitCap = Math.min(budget.limitCap, next.limit);
            return [budget.name, next];
        });
        const record = { ...this.record, witnesses, budgets: Object.fromEntries(bounds) };
        this.mayChangeWitnesses ||= witnesses.join() !== this.record.witnesses.join();
        return record;
    }

    /** Takes a record that the KV service certainly holds. */
    confirm(record: ShardRecord, revision: number): void {
        this.record = record;
        this.revision = revision;
        this.isDoubtful = false;
        this.hasUnsettledWrite = false;
        this.mayChangeWitnesses = false;
        for (const [name, bounds] of Object.entries(record.budgets)) {
            const budget = this.getBudget(name);
            budget.confirmed = bounds;
            budget.limitCap = bounds.limit;
        }
    }

    /** Notes that the outcome of a write is not known. */
    doubt(): void {
        this.isDoubtful = true;
        this.hasUnsettledWrite = true;
    }

    /** Gives up a record that certainly was not written. */
    discardPending(): void {
        if (this.hasUnsettledWrite) {
            // An earlier one may still take effect; the lower limits hold until a later write has.
            return;
        }
        this.mayChangeWitnesses = false;
        for (const budget of this.budgets.values()) {
            budget.limitCap = budget.confirmed.limit;
        }
    }

    /**
     * Whether the witnesses in force may be asked to keep notes. They may also where the KV service's record is in
     * doubt, as whoever took the shard over has sealed them.
     */
    get mayNote(): boolean {
        return this.record.witnesses.length > 0 && !this.mayChangeWitnesses;
    }
}
