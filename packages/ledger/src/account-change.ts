import type { Counters } from "@ospreyreel/telemetry";
import type { BudgetSource } from "./budget-source.js";
import type { ClaimQueue } from "./claim-queue.js";
import type { GrantSizePolicy } from "./grant-size-policy.js";
import {
    countHolders,
    getBudget,
    getFree,
    getGrant,
    getUnsettled,
    withFinishes,
    withGrant,
    withPrepaid,
} from "./head-math.js";
import type { HeadRecord } from "./head-record.js";
import type { LocalGrant } from "./local-grant.js";
import { getNewBills } from "./new-bills.js";
import type { PendingFinishes } from "./pending-finishes.js";
import type { ReserveQueue } from "./reserve-queue.js";
import type { ShardChange, ShardView } from "./shard-view.js";

/** Options of {@link AccountChange}; the collections belong to the account and are only read here. */
export interface AccountChangeOptions {
    readonly incarnation: string;
    readonly budgets: BudgetSource;
    readonly policy: GrantSizePolicy;
    readonly counters: Counters;
    /** Whether the remainder of a budget is gathered at this instance near its end. */
    readonly isGatherer: (budget: string) => boolean;
    readonly now: () => number;
    readonly grants: ReadonlyMap<string, LocalGrant>;
    readonly getGrant: (budget: string) => LocalGrant;
    /** Budgets whose idle tokens are to be returned. */
    readonly recalls: ReadonlySet<string>;
    readonly finishes: PendingFinishes;
    readonly reserves: ReserveQueue;
    readonly claims: ClaimQueue;
}

/** Computes an account's write from a view of its shard: settlements, recalls, draws and claims. */
export class AccountChange {
    constructor(private readonly opts: AccountChangeOptions) {}

    /** Returns the change of a view; its head is undefined where nothing is to be written. */
    get(view: ShardView): ShardChange {
        const { incarnation, finishes, claims, reserves } = this.opts;
        const settleable = finishes.getSettleable();
        const unsettled = getUnsettled(view.head, incarnation, settleable);
        const entries = [...getNewBills(view, unsettled), ...claims.getEntries(view)];
        let head = withFinishes(this.withBudgetTerms(view.head), incarnation, settleable);
        head = this.withRecalls(head);
        for (const budget of reserves.listBudgets()) {
            head = this.withDraw(head, budget);
        }
        return { head: head === view.head && entries.length === 0 ? undefined : head, entries };
    }

    private withBudgetTerms(head: HeadRecord): HeadRecord {
        let next = head;
        for (const budget of this.opts.grants.keys()) {
            const terms = this.opts.budgets(budget);
            if (terms !== undefined) {
                next = withPrepaid(next, budget, terms.prepaid, terms.revision);
            }
        }
        return next;
    }

    private withRecalls(head: HeadRecord): HeadRecord {
        const { incarnation, recalls, getGrant: getLocal } = this.opts;
        let next = head;
        for (const budget of recalls) {
            const { settled } = getGrant(next, incarnation, budget);
            const granted = Math.max(getLocal(budget).granted, settled);
            next = withGrant(next, incarnation, budget, { granted, settled });
        }
        return next;
    }

    private withDraw(head: HeadRecord, budget: string): HeadRecord {
        const { incarnation, policy, counters, reserves, now, isGatherer } = this.opts;
        const grant = this.opts.getGrant(budget);
        const held = getGrant(head, incarnation, budget);
        const limit = getFree(head, budget) + held.granted - grant.used - grant.reserved;
        const wanted = reserves.getSatisfiable(budget, limit);
        // An absolute value, not an increment: after a lost reply the record may contain the tokens already.
        const needed = grant.used + grant.reserved + wanted - held.granted;
        if (needed <= 0) {
            return head;
        }
        const size = policy.getGrantSize({
            needed,
            free: getFree(head, budget),
            prepaid: getBudget(head, budget).prepaid,
            ratePerS: grant.rate.getRate(now()),
            holders: Math.max(1, countHolders(head, budget)),
            isGatherer: isGatherer(budget),
        });
        if (size <= 0) {
            return head;
        }
        counters.add("ledger_draws");
        return withGrant(head, incarnation, budget, { ...held, granted: held.granted + size });
    }
}
