import type { PeerHub } from "@ospreyreel/peer";
import type { BudgetNote } from "@ospreyreel/types";
import type { BudgetLog } from "./budget-log.js";
import type { OwnedBudget } from "./owned-budget.js";
import type { OwnedShard } from "./owned-shard.js";
import type { WindowPolicy } from "./window-policy.js";
import { getNoteQuorum, getTakeoverQuorum, getUnsealedQuorum } from "./witness-quorums.js";

/** Options of {@link NoteSender}. */
export interface NoteSenderOptions {
    readonly hub: PeerHub;
    readonly policy: WindowPolicy;
    readonly log: BudgetLog;
}

/** Whether an owner's epoch was sealed. */
export type SealStatus = "sealed" | "unsealed" | "unknown";

/** Longest wait for a witness, in milliseconds; some round trips within a region. */
const NOTE_TIMEOUT_MS = 100;

/** Sends bounds of owned budgets to their witnesses, one note at a time for each budget. */
export class NoteSender {
    private readonly sending = new Map<OwnedBudget, Promise<void>>();

    constructor(private readonly opts: NoteSenderOptions) {}

    /** Notes a bound beyond the window at the witnesses; returns whether the use is covered by it. */
    async ensureCovered(owned: OwnedShard, budget: OwnedBudget): Promise<boolean> {
        // A note in flight covers later draws too, so they send none of their own.
        await this.sending.get(budget);
        if (budget.spent <= budget.usable) {
            return true;
        }
        await (this.sending.get(budget) ?? this.startNote(owned, budget));
        return budget.spent <= budget.usable;
    }

    /** Notes a higher bound before it is needed, unless a note is in flight. */
    async sendAhead(owned: OwnedShard, budget: OwnedBudget): Promise<void> {
        if (!this.sending.has(budget)) {
            await this.startNote(owned, budget);
        }
    }

    /**
     * Asks the witnesses of a shard whether its epoch was sealed, as by an instance that took it over. "unknown" where too few of
     * them answer.
     */
    async findSeal({ shard, epoch, record: { witnesses } }: OwnedShard): Promise<SealStatus> {
        const { hub } = this.opts;
        const note: BudgetNote = { shard, epoch, budget: "", upTo: 0 };
        const responses = await Promise.allSettled(
            witnesses.map(witness => hub.request(witness, "budget.note", { notes: [note] }, NOTE_TIMEOUT_MS)),
        );
        const answers = responses.flatMap(response => response.status === "fulfilled" ? [response.value.taken] : []);
        const taken = answers.filter(isTaken => isTaken).length;
        if (taken >= getUnsealedQuorum(witnesses.length)) {
            return "unsealed";
        }
        return answers.length - taken >= getTakeoverQuorum(witnesses.length) ? "sealed" : "unknown";
    }

    private startNote(owned: OwnedShard, budget: OwnedBudget): Promise<void> {
        const note = this.send(owned, budget).finally(() => this.sending.delete(budget));
        this.sending.set(budget, note);
        return note;
    }

    private async send(owned: OwnedShard, budget: OwnedBudget): Promise<void> {
        const { hub } = this.opts;
        const numbers = owned.getNumbers(budget);
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
        const responses = await Promise.allSettled(
            witnesses.map(witness => hub.request(witness, "budget.note", { notes: [note] }, NOTE_TIMEOUT_MS)),
        );
        const taken = responses.filter(response => response.status === "fulfilled" && response.value.taken).length;
        const isAccepted = taken >= getNoteQuorum(witnesses.length) && owned.record.witnesses === witnesses;
        if (!isAccepted || !budget.acceptNote(upTo)) {
            this.opts.log("bound not taken by enough witnesses", { budget: budget.name, upTo, taken });
        }
    }
}
