import type { CopyHorizon } from "./copy-horizon.js";
import { getLostUse, toExactBounds } from "./lost-use.js";
import { OwnedBudget } from "./owned-budget.js";
import type { ShardRecord, StoredBudget } from "./shard-record.js";
import { UseCeilings } from "./use-ceilings.js";
import type { BudgetNumbers, WindowPolicy } from "./window-policy.js";

/** Options of {@link OwnedShard}. */
export interface OwnedShardOptions {
    readonly shard: number;
    /** The record that made this instance the owner. */
    readonly record: ShardRecord;
    readonly revision: number;
    /** Monotonic time by which the record was stored, in milliseconds. */
    readonly storedAtMs: number;
    /** Whether nothing may be handed out until the record is in each copy of the KV service. */
    readonly mustWait: boolean;
    readonly horizon: CopyHorizon;
    readonly getPrepaid: (budget: string) => number;
    /** Earliest era in which a budget can have been used; undefined where that is not known. */
    readonly getFirstEra: (budget: string) => number | undefined;
}

/** One shard of budgets at its owner. */
export class OwnedShard {
    readonly shard: number;
    readonly budgets = new Map<string, OwnedBudget>();
    /** The record that the KV service holds. */
    record: ShardRecord;
    revision: number;
    /** Whether the KV service may hold another record than the known one; the record is then read before a write. */
    isUncertain = false;
    /** Whether the KV service came back from a copy since a record of this owner was confirmed. */
    mayBeSuperseded = false;
    /** Whether a write with unknown outcome may still take effect. */
    private hasUnsettledWrite = false;
    /** Whether a write that may take effect names other witnesses than the current ones. */
    private mayChangeWitnesses = false;
    private readonly claimedInEra: number;

    constructor(private readonly opts: OwnedShardOptions) {
        const { shard, record, revision, storedAtMs, horizon } = opts;
        this.shard = shard;
        this.claimedInEra = horizon.era;
        this.record = record;
        this.revision = revision;
        for (const [name, stored] of Object.entries(record.budgets)) {
            const ceilings = UseCeilings.decode(stored.ceilings ?? [], storedAtMs, horizon);
            this.budgets.set(name, new OwnedBudget(name, stored, ceilings));
        }
    }

    /** Epoch of the ownership. */
    get epoch(): number {
        return this.record.epoch;
    }

    /** Returns the budget of a name; one that the record does not name is new, or its record was lost. */
    getBudget(name: string): OwnedBudget {
        const { horizon, getPrepaid } = this.opts;
        const known = this.budgets.get(name);
        if (known !== undefined) {
            return known;
        }
        const { used, ceiling } = getLostUse(0, getPrepaid(name), this.countUnseenRestores(name) + 1);
        const first = this.mayHandOut ? ceiling : used;
        const budget = new OwnedBudget(name, toExactBounds(used), UseCeilings.startAt(first, horizon), true);
        this.budgets.set(name, budget);
        return budget;
    }

    /** Restores that may have lost an owner of a budget that the record does not name. */
    private countUnseenRestores(name: string): number {
        const { unseenRestores = 0 } = this.record;
        const firstEra = this.opts.getFirstEra(name);
        // Since the claim this instance is the only owner.
        return firstEra === undefined
            ? unseenRestores
            : Math.min(unseenRestores, Math.max(0, this.claimedInEra - firstEra));
    }

    private get mayHandOut(): boolean {
        const { mustWait, horizon, storedAtMs } = this.opts;
        return !mustWait || (horizon.era === this.claimedInEra && horizon.contains(storedAtMs));
    }

    /** Returns the numbers of a budget for the policy. */
    getNumbers(budget: OwnedBudget): BudgetNumbers {
        return {
            prepaid: this.opts.getPrepaid(budget.name),
            spent: budget.spent,
            ratePerS: budget.meter.ratePerS,
            usualRatePerS: budget.meter.usualRatePerS,
            window: budget.confirmed.window,
            noted: budget.noted,
        };
    }

    /** Whether the next bounds of a budget are due although the present ones suffice. */
    isWriteDue(policy: WindowPolicy, budget: OwnedBudget): boolean {
        return policy.isWideningDue(this.getNumbers(budget))
            || this.getCeiling(policy, budget) > budget.ceilings.latest;
    }

    private getCeiling(policy: WindowPolicy, budget: OwnedBudget): number {
        const numbers = this.getNumbers(budget);
        const spent = Math.max(numbers.spent, budget.uncoveredUse);
        const { ceilings: { latest }, measuredMs, isFirstOwner } = budget;
        return policy.getCeiling({ ...numbers, spent }, { latest, measuredMs, isFirstOwner });
    }

    /** Creates the next record. Of old and new limits the lower ones apply until it is known which record is stored. */
    prepare(policy: WindowPolicy, witnesses: readonly string[]): ShardRecord {
        const bounds = [...this.budgets.values()].map((budget): [string, StoredBudget] => {
            const numbers = this.getNumbers(budget);
            const next = policy.getBounds(numbers);
            budget.limitCap = Math.min(budget.limitCap, next.limit);
            budget.ceilings.propose(this.getCeiling(policy, budget));
            return [budget.name, { ...next, ceilings: budget.ceilings.encode(performance.now()) }];
        });
        const { era } = this.opts.horizon;
        const record = { ...this.record, era, witnesses, budgets: Object.fromEntries(bounds) };
        this.mayChangeWitnesses ||= witnesses.join() !== this.record.witnesses.join();
        return record;
    }

    /** Creates the record of a shard without an owner, with exact bounds. */
    prepareRelease(): ShardRecord {
        const nowMs = performance.now();
        const bounds = [...this.budgets.values()].map((budget): [string, StoredBudget] => {
            return [budget.name, { ...toExactBounds(budget.spent), ceilings: budget.ceilings.encode(nowMs) }];
        });
        const { era } = this.opts.horizon;
        return { ...this.record, era, owner: undefined, witnesses: [], budgets: Object.fromEntries(bounds) };
    }

    /** Adopts a record that the KV service certainly holds. */
    confirm(record: ShardRecord, revision: number): void {
        this.record = record;
        this.revision = revision;
        this.isUncertain = false;
        this.hasUnsettledWrite = false;
        this.mayChangeWitnesses = false;
        this.mayBeSuperseded &&= record.era !== this.opts.horizon.era;
        const nowMs = performance.now();
        for (const [name, stored] of Object.entries(record.budgets)) {
            const budget = this.getBudget(name);
            budget.confirmed = stored;
            budget.limitCap = stored.limit;
            const ceiling = stored.ceilings?.at(-1);
            if (ceiling !== undefined) {
                budget.ceilings.confirm(ceiling.tokens, nowMs);
            }
        }
    }

    /** Records that the outcome of a write is unknown. */
    markUncertain(): void {
        this.isUncertain = true;
        this.hasUnsettledWrite = true;
    }

    /** Records that the KV service came back from a copy, so that it may hold an older record, also one of another owner. */
    markRestored(): void {
        this.isUncertain = true;
        this.mayBeSuperseded = true;
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
