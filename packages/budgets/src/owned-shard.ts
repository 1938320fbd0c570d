import { OwnedBudget } from "./owned-budget.js";
import type { BudgetBounds, ShardRecord } from "./shard-record.js";
import type { BudgetNumbers, WindowPolicy } from "./window-policy.js";

/** One shard of budgets at its owner. */
export class OwnedShard {
    readonly budgets = new Map<string, OwnedBudget>();
    /** Whether the KV service may hold another record than the known one; the record is then read before a write. */
    isUncertain = false;
    /** Whether a write with unknown outcome may still take effect. */
    private hasUnsettledWrite = false;
    /** Whether a write that may take effect names other witnesses than the current ones. */
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

    /** Returns the budget of a name; a new one starts without any use. */
    getBudget(name: string): OwnedBudget {
        const known = this.budgets.get(name) ?? new OwnedBudget(name, { window: 0, limit: 0 });
        this.budgets.set(name, known);
        return known;
    }

    /** Returns the numbers of a budget for the policy. */
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

    /** Creates the next record. Of old and new limits the lower ones apply until it is known which record is stored. */
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

    /** Adopts a record that the KV service certainly holds. */
    confirm(record: ShardRecord, revision: number): void {
        this.record = record;
        this.revision = revision;
        this.isUncertain = false;
        this.hasUnsettledWrite = false;
        this.mayChangeWitnesses = false;
        for (const [name, bounds] of Object.entries(record.budgets)) {
            const budget = this.getBudget(name);
            budget.confirmed = bounds;
            budget.limitCap = bounds.limit;
        }
    }

    /** Records that the outcome of a write is unknown. */
    markUncertain(): void {
        this.isUncertain = true;
        this.hasUnsettledWrite = true;
    }

    /** Discards a record that certainly was not written. */
    discardPending(): void {
        if (this.hasUnsettledWrite) {
            // An earlier write may still take effect; the lower limits apply until a later write has taken effect.
            return;
        }
        this.mayChangeWitnesses = false;
        for (const budget of this.budgets.values()) {
            budget.limitCap = budget.confirmed.limit;
        }
    }

    /**
     * Whether notes may be sent to the current witnesses. This also holds while the KV service's record is uncertain,
     * since an instance that took the shard over has sealed the witnesses.
     */
    get mayNote(): boolean {
        return this.record.witnesses.length > 0 && !this.mayChangeWitnesses;
    }
}
