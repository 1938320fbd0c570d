import type { BudgetDrawRequest, BudgetDrawResponse } from "@ospreyreel/types";
import { setTimeout as sleep } from "node:timers/promises";
import { UsageMeter } from "./usage-meter.js";

/** Outcome of {@link BorrowedBudget.hold}. */
export type HoldResult =
    | { readonly kind: "held" | "exhausted"; }
    /** `retryAfterMs` is undefined where it is not known when the budget is available again. */
    | { readonly kind: "unavailable"; readonly cause: string; readonly retryAfterMs?: number | undefined; };

const HELD: HoldResult = { kind: "held" };

/** Options of {@link BorrowedBudget}. */
export interface BorrowedBudgetOptions {
    readonly name: string;
    /** Sends a draw to the budget's owner, whose epoch is never before that of the draw; does not throw. */
    readonly draw: (req: BudgetDrawRequest) => Promise<BudgetDrawResponse>;
    /** Whether the KV service responds, so that a missing owner is replaced soon. */
    readonly isKvAvailable: () => boolean;
}

interface Waiter {
    readonly tokens: number;
    readonly arrivedAtMs: number;
    readonly resolve: (result: HoldResult) => void;
}

/** Unused tokens that a borrower retains of a plentiful budget, in seconds of its use; saves requests an exchange. */
const RETAINED_USE_S = 0.25;

/**
 * Time for which an `exhausted` response of the owner is reused, in milliseconds. A team far beyond its budget then
 * costs no exchange for each request, and returned tokens are seen as soon as they are returned.
 */
const EXHAUSTED_REUSE_MS = 50;

/** Time after which unused tokens return to the owner, in milliseconds: while there is plenty, and near the end. */
const RETURN_DELAY_MS = 1_000;
const SCARCE_RETURN_DELAY_MS = 50;

/**
 * Longest wait of a request for an owner that does not respond, in milliseconds: two draws and the time for which an
 * owner that did not respond is not tried. Owner and KV service may be late by that much on a busy machine.
 */
const MAX_WAIT_MS = 1_000;

/** Time after a draw without a usable response until the next one, in milliseconds. */
const RETRY_DELAY_MS = 50;

/** One budget at a borrower: its local tokens and the exchanges with the budget's owner. */
export class BorrowedBudget {
    private readonly meter = new UsageMeter();
    private readonly waiters: Waiter[] = [];
    private free = 0;
    private epoch = 0;
    private received = 0;
    private returned = 0;
    private seq = 0;
    private plenty = false;
    /** Smallest number of tokens that the owner rejected recently, and until when it is not requested again. */
    private shortage = { tokens: 0, untilMs: 0 };
    private exchanging = false;
    /** Whether a request waited in vain since the last usable response; further requests do not wait then. */
    private isUnavailable = false;
    private returnTimer: NodeJS.Timeout | undefined;

    constructor(private readonly opts: BorrowedBudgetOptions) {}

    /** Local tokens that no request holds. */
    get freeTokens(): number {
        return this.free;
    }

    /** Holds tokens for a request, immediately or after an exchange with the owner. */
    hold(tokens: number): Promise<HoldResult> {
        this.meter.add(tokens);
        if (this.free >= tokens && this.waiters.length === 0) {
            this.free -= tokens;
            this.scheduleReturn();
            return Promise.resolve(HELD);
        }
        if (tokens >= this.shortage.tokens && performance.now() < this.shortage.untilMs) {
            return Promise.resolve({ kind: "exhausted" });
        }
        return new Promise(resolve => {
            this.waiters.push({ tokens, arrivedAtMs: performance.now(), resolve });
            this.startExchanges();
        });
    }

    /** Releases held tokens that were not used. */
    release(tokens: number): void {
        this.free += tokens;
        this.shortage = { tokens: 0, untilMs: 0 };
        this.serveWaiters();
        this.scheduleReturn();
    }

    /** Unused tokens that are not returned to the owner; 0 near the end of a budget. */
    private get retainedTokens(): number {
        return this.plenty ? Math.ceil(this.meter.ratePerS * RETAINED_USE_S) : 0;
    }

    private startExchanges(): void {
        if (this.exchanging) {
            return;
        }
        this.exchanging = true;
        void this.exchangeForWaiters().finally(() => {
            this.exchanging = false;
            if (this.waiters.length > 0) {
                this.startExchanges();
            }
        });
    }

    private async exchangeForWaiters(): Promise<void> {
        while (this.waiters.length > 0) {
            // Requests that arrive during an exchange wait for the next one.
            const requesting = this.waiters.slice();
            const needed = requesting.reduce((sum, waiter) => sum + waiter.tokens, 0) - this.free;
            const minimum = Math.min(...requesting.map(waiter => waiter.tokens)) - this.free;
            const response = await this.exchange(Math.max(0, needed + this.retainedTokens), Math.max(0, minimum));
            this.serveWaiters();
            const refusal = getRefusal(response);
            if (refusal.kind === "unavailable") {
                if (this.mayWait(refusal.retryAfterMs)) {
                    await sleep(RETRY_DELAY_MS);
                    continue;
                }
                this.isUnavailable ||= this.longestWaitMs >= MAX_WAIT_MS;
            }
            const refused = requesting.filter(waiter => this.waiters.includes(waiter));
            if (refusal.kind === "exhausted" && refused.length > 0) {
                const tokens = Math.min(...refused.map(waiter => waiter.tokens));
                this.shortage = { tokens, untilMs: performance.now() + EXHAUSTED_REUSE_MS };
            }
            refused.forEach(waiter => {
                this.waiters.splice(this.waiters.indexOf(waiter), 1);
                waiter.resolve(refusal);
            });
        }
    }

    private async exchange(want: number, least: number): Promise<BudgetDrawResponse> {
        this.seq += 1;
        const { seq, epoch, received, returned } = this;
        const response = await this.opts.draw({ budget: this.opts.name, seq, epoch, received, returned, want, least });
        if (response.kind !== "granted" && response.kind !== "exhausted") {
            return response;
        }
        this.isUnavailable = false;
        if (response.epoch > this.epoch) {
            // Tokens left of an earlier epoch count as spent in this one too, so they are returned in this epoch.
            this.epoch = response.epoch;
            this.received = 0;
            this.returned = 0;
        }
        this.plenty = response.kind === "granted" && response.plenty;
        if (response.kind === "granted") {
            this.received += response.tokens;
            this.free += response.tokens;
        }
        return response;
    }

    /** Time since the oldest waiting request arrived, in milliseconds; 0 where none waits. */
    private get longestWaitMs(): number {
        const [oldest] = this.waiters;
        return oldest === undefined ? 0 : performance.now() - oldest.arrivedAtMs;
    }

    /** Whether the waiting requests may go on waiting after a draw without a usable response. */
    private mayWait(retryAfterMs = 0): boolean {
        // Where the owner tells when it can grant more, the caller comes back then.
        const isSoon = retryAfterMs <= RETRY_DELAY_MS;
        return isSoon && !this.isUnavailable && this.opts.isKvAvailable() && this.longestWaitMs < MAX_WAIT_MS;
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
        if (this.returnTimer !== undefined || this.free === 0) {
            return;
        }
        const afterMs = this.plenty ? RETURN_DELAY_MS : SCARCE_RETURN_DELAY_MS;
        this.returnTimer = setTimeout(() => {
            this.returnTimer = undefined;
            void this.returnUnused();
        }, afterMs);
    }

    private async returnUnused(): Promise<void> {
        if (this.exchanging || this.waiters.length > 0) {
            this.scheduleReturn();
            return;
        }
        const tokens = this.free - this.retainedTokens;
        if (tokens <= 0) {
            return;
        }
        this.free -= tokens;
        this.returned += tokens;
        this.exchanging = true;
        await this.exchange(0, 0);
        this.exchanging = false;
        if (this.waiters.length > 0) {
            this.startExchanges();
        }
    }
}

/** Result for requests that an exchange did not cover. */
const getRefusal = (response: BudgetDrawResponse): HoldResult => {
    switch (response.kind) {
        case "granted":
        case "exhausted":
            return { kind: "exhausted" };
        case "elsewhere":
            return { kind: "unavailable", cause: "no owner is known" };
        case "unavailable":
            return response;
    }
};
