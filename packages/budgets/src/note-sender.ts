import type { PeerHub } from "@ospreyreel/peer";
import type { BudgetNote } from "@ospreyreel/types";
import type { BudgetLog } from "./budget-log.js";
import type { OwnedBudget } from "./owned-budget.js";
import type { OwnedShard } from "./owned-shard.js";
import { getNoteQuorum } from "./shard-claimer.js";
import type { WindowPolicy } from "./window-policy.js";

/** What a sender needs. */
export interface NoteSenderOptions {
    readonly hub: PeerHub;
    readonly getPrepaid: (budget: string) => number;
    readonly policy: WindowPolicy;
    readonly log: BudgetLog;
}

/** Longest wait for a witness, in milliseconds; some round trips within a region. */
const NOTE_TIMEOUT_MS = 100;

/** Has witnesses keep bounds of owned budgets, one at a time for each budget. */
export class NoteSender {
    private readonly sending = new Map<OwnedBudget, Promise<void>>();

    constructor(private readonly opts: NoteSenderOptions) {}

    /** Has the witnesses keep a bound beyond the window; true where the use is covered by it. */
    async cover(owned: OwnedShard, budget: OwnedBudget): Promise<boolean> {
        // A note that is on its way covers later draws too, so that they send none of their own.
        await this.sending.get(budget);
        if (budget.spent <= budget.usable) {
            return true;
        }
        await (this.sending.get(budget) ?? this.start(owned, budget));
        return budget.spent <= budget.usable;
    }

    /** Has a higher bound kept before it is needed, unless one is on its way. */
    async sendAhead(owned: OwnedShard, budget: OwnedBudget): Promise<void> {
        if (!this.sending.has(budget)) {
            await this.start(owned, budget);
        }
    }

    private start(owned: OwnedShard, budget: OwnedBudget): Promise<void> {
        const note = this.send(owned, budget).finally(() => this.sending.delete(budget));
        this.sending.set(budget, note);
        return note;
    }

    private async send(owned: OwnedShard, budget: OwnedBudget): Promise<void> {
        const { hub, getPrepaid } = this.opts;
        const numbers = owned.getNumbers(budget, getPrepaid(budget.name));
        const upTo = this.opts.policy.getNote(numbers, budget.limitCap);
        if (upTo === undefined || !owned.mayNote) {
            const { limitCap: limit } = budget;
            const witnesses = owned.record.witnesses.length;
            this.opts.log("bound not noted", {
                budget: budget.name,
                ...numbers,
                limit,
                witnesses,
                mayNote: owned.mayNote,
            });
            return;
        }
        const note: BudgetNote = { shard: owned.shard, epoch: owned.epoch, budget: budget.name, upTo };
        const { witnesses } = owned.record;
        const answers = await Promise.allSettled(
            witnesses.map(witness => hub.request(witness, "budget.note", { notes: [note] }, NOTE_TIMEOUT_MS)),
        );
        const taken = answers.filter(answer => answer.status === "fulfilled" && answer.value.taken).length;
        const isTaken = taken >= getNoteQuorum(witnesses.length) && owned.record.witnesses === witnesses;
        if (!isTaken || !budget.takeNote(upTo)) {
            this.opts.log("bound not taken by enough witnesses", { budget: budget.name, upTo, taken });
        }
    }
}
