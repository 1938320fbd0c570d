import type { BudgetDrawAnswer, BudgetDrawRequest } from "@ospreyreel/types";
import { UsageMeter } from "./usage-meter.js";

/** Outcome of a loan. */
export type LoanResult =
    | { readonly kind: "held" | "exhausted"; }
    | { readonly kind: "unavailable"; readonly cause: string; };

const HELD: LoanResult = { kind: "held" };

interface Waiter {
    readonly tokens: number;
    readonly resolve: (result: LoanResult) => void;
}

/** What a borrower keeps of a plentiful budget, in seconds of its own use; its requests then need no exchange. */
const KEEP_S = 0.25;

/**
 * Time for which the owner's word that a budget is used up is not asked for again, in milliseconds: a team far beyond its
 * budget then costs no exchange for each request, and tokens that come back are seen as soon as they are returned.
 */
const EXHAUSTED_FOR_MS = 50;

/** Time after which unused tokens go back, in milliseconds: while there is plenty, and near the end. */
const RETURN_AFTER_MS = 1_000;
const SCARCE_RETURN_AFTER_MS = 50;

/** One budget at an instance that serves requests: tokens at hand, and the exchanges with the budget's owner. */
export class BorrowedBudget {
    private readonly meter = new UsageMeter();
    private readonly waiters: Waiter[] = [];
    private free = 0;
    private epoch = 0;
    private received = 0;
    private returned = 0;
    private seq = 0;
    private plenty = false;
    /** Fewest tokens that the owner could not give a moment ago, and until when that holds. */
    private short = { tokens: 0, untilMs: 0 };
    private exchanging = false;
    private returning: NodeJS.Timeout | undefined;

    constructor(
        private readonly name: string,
        private readonly draw: (req: BudgetDrawRequest) => Promise<BudgetDrawAnswer>,
    ) {}

    /** Tokens at hand that no request holds. */
    get freeTokens(): number {
        return this.free;
    }

    /** Sets tokens aside, at once or after an exchange with the owner. */
    hold(tokens: number): Promise<LoanResult> {
        this.meter.note(tokens);
        if (this.free >= tokens && this.waiters.length === 0) {
            this.free -= tokens;
            this.scheduleReturn();
            return Promise.resolve(HELD);
        }
        if (tokens >= this.short.tokens && performance.now() < this.short.untilMs) {
            return Promise.resolve({ kind: "exhausted" });
        }
        return new Promise(resolve => {
            this.waiters.push({ tokens, resolve });
            this.exchangeWhileNeeded();
        });
    }

    /** Gives tokens back that were set aside and not used. */
    release(tokens: number): void {
        this.free += tokens;
        this.short = { tokens: 0, untilMs: 0 };
        this.serveWaiters();
        this.scheduleReturn();
    }

    /** Tokens that stay here unused; none of a budget near its end. */
    private get keptTokens(): number {
        return this.plenty ? Math.ceil(this.meter.ratePerS * KEEP_S) : 0;
    }

    private exchangeWhileNeeded(): void {
        if (this.exchanging) {
            return;
        }
        this.exchanging = true;
        void this.exchangeAll().finally(() => {
            this.exchanging = false;
            if (this.waiters.length > 0) {
                this.exchangeWhileNeeded();
            }
        });
    }

    private async exchangeAll(): Promise<void> {
        while (this.waiters.length > 0) {
            // Those that come during an exchange wait for the next one.
            const asked = this.waiters.slice();
            const needed = asked.reduce((sum, waiter) => sum + waiter.tokens, 0) - this.free;
            const least = Math.min(...asked.map(waiter => waiter.tokens)) - this.free;
            const answer = await this.exchange(Math.max(0, needed + this.keptTokens), Math.max(0, least));
            this.serveWaiters();
            const refusal = getRefusal(answer);
            const refused = asked.filter(waiter => this.waiters.includes(waiter));
            if (refusal.kind === "exhausted" && refused.length > 0) {
                const tokens = Math.min(...refused.map(waiter => waiter.tokens));
                this.short = { tokens, untilMs: performance.now() + EXHAUSTED_FOR_MS };
            }
            refused.forEach(waiter => {
                this.waiters.splice(this.waiters.indexOf(waiter), 1);
                waiter.resolve(refusal);
            });
        }
    }

    private async exchange(want: number, least: number): Promise<BudgetDrawAnswer> {
        this.seq += 1;
        const { name, seq, epoch, received, returned } = this;
        const answer = await this.draw({ budget: name, seq, epoch, received, returned, want, least });
        if (answer.kind !== "granted" && answer.kind !== "exhausted") {
            return answer;
        }
        if (answer.epoch !== this.epoch) {
            // What is left of an earlier epoch counts as spent in this one too, so that it is given back here.
            this.epoch = answer.epoch;
            this.received = 0;
            this.returned = 0;
        }
        this.plenty = answer.kind === "granted" && answer.plenty;
        if (answer.kind === "granted") {
            this.received += answer.tokens;
            this.free += answer.tokens;
        }
        return answer;
    }

    private serveWaiters(): void {
        for (const waiter of this.waiters.slice()) {
            if (waiter.tokens <= this.free) {
                this.free -= waiter.tokens;
                this.waiters.splice(this.waiters.indexOf(waiter), 1);
                waiter.resolve(HELD);
            }
        }
    }

    private scheduleReturn(): void {
        if (this.returning !== undefined || this.free === 0) {
            return;
        }
        const afterMs = this.plenty ? RETURN_AFTER_MS : SCARCE_RETURN_AFTER_MS;
        this.returning = setTimeout(() => {
            this.returning = undefined;
            void this.giveBack();
        }, afterMs);
    }

    private async giveBack(): Promise<void> {
        if (this.exchanging || this.waiters.length > 0) {
            this.scheduleReturn();
            return;
        }
        const tokens = this.free - this.keptTokens;
        if (tokens <= 0) {
            return;
        }
        this.free -= tokens;
        this.returned += tokens;
        this.exchanging = true;
        await this.exchange(0, 0);
        this.exchanging = false;
        if (this.waiters.length > 0) {
            this.exchangeWhileNeeded();
        }
    }
}

/** What those are told whom an exchange did not cover. */
const getRefusal = (answer: BudgetDrawAnswer): LoanResult => {
    switch (answer.kind) {
        case "granted":
        case "exhausted":
            return { kind: "exhausted" };
        case "elsewhere":
            return { kind: "unavailable", cause: "no owner is known" };
        case "unavailable":
            return answer;
    }
};
