import type { Counters } from "@ospreyreel/telemetry";
import type { Bill, FinishEntry, Intent } from "@ospreyreel/types";
import { AccountChange } from "./account-change.js";
import type { BudgetSource } from "./budget-source.js";
import { ClaimQueue } from "./claim-queue.js";
import type { GrantSizePolicy } from "./grant-size-policy.js";
import { getGrant, withReturnedGrants } from "./head-math.js";
import type { Claim } from "./journal-entry.js";
import { LocalGrant } from "./local-grant.js";
import { PendingFinishes } from "./pending-finishes.js";
import { ReserveQueue } from "./reserve-queue.js";
import type { ShardGuard } from "./shard-guard.js";
import type { ShardStore } from "./shard-store.js";
import type { ShardView } from "./shard-view.js";

/** Options of {@link ShardAccount}. */
export interface ShardAccountOptions {
    readonly store: ShardStore;
    readonly incarnation: string;
    readonly guard: ShardGuard;
    readonly budgets: BudgetSource;
    readonly policy: GrantSizePolicy;
    readonly counters: Counters;
    /** Whether the remainder of a budget is gathered at this instance near its end. */
    readonly isGatherer: (budget: string) => boolean;
    /** Called when finishes up to this number are in the key-value service. */
    readonly onFlushed: (finishSeq: number) => void;
    /** Clock for rates only, in milliseconds. */
    readonly now?: () => number;
}

/** One incarnation's grants, settlements and claims in one shard; writes are grouped. */
export class ShardAccount {
    private readonly grants = new Map<string, LocalGrant>();
    private readonly recalls = new Set<string>();
    private readonly reserves = new ReserveQueue();
    private readonly claims = new ClaimQueue();
    private readonly finishes = new PendingFinishes();
    private readonly change: AccountChange;
    private running = false;
    private shouldRepeat = false;

    constructor(private readonly opts: ShardAccountOptions) {
        const { grants, recalls, reserves, claims, finishes } = this;
        this.change = new AccountChange({
            ...opts,
            now: () => this.now(),
            getGrant: budget => this.getGrant(budget),
            grants,
            recalls,
            reserves,
            claims,
            finishes,
        });
    }

    /** Tokens of a budget that could be reserved immediately. */
    getAvailable(budget: string): number {
        return this.grants.get(budget)?.available ?? 0;
    }

    /** Reserves tokens from the grant; returns false where it has too few. */
    reserveFromGrant(budget: string, tokens: number): boolean {
        const grant = this.getGrant(budget);
        if (grant.available < tokens) {
            return false;
        }
        grant.reserve(tokens, this.now());
        return true;
    }

    /**
     * Reserves tokens, with a draw where the grant has too few; returns false where the budget has too few free tokens.
     * Throws the errors of the store, and the signal's reason once it is aborted: nothing is reserved then, and tokens
     * that the draw brings later are free.
     */
    async reserve(budget: string, tokens: number, signal: AbortSignal): Promise<boolean> {
        // A request that fits overtakes those that wait for a draw, which fail while the key-value service is down.
        if (this.reserveFromGrant(budget, tokens)) {
            return true;
        }
        const result = this.reserves.add(budget, tokens, signal);
        this.scheduleWrite();
        return await result;
    }

    /** Releases an unused reservation. */
    release(budget: string, tokens: number): void {
        this.getGrant(budget).end(tokens, 0);
    }

    /** Numbers a finish; nothing is settled or freed until the copy holder has it and {@link confirm} is called. */
    finish(intent: Intent, tokens: number, bill: Bill | undefined): FinishEntry {
        return this.finishes.add(intent, tokens, bill);
    }

    /** Settles a finish that the copy holder has; the unused part of its reservation is free again. */
    confirm(finishSeq: number): void {
        const finish = this.finishes.confirm(finishSeq);
        if (finish === undefined) {
            return;
        }
        const { entry, reserved } = finish;
        this.getGrant(entry.budget).end(reserved, entry.tokens);
        if (entry.tokens > reserved) {
            this.opts.counters.add("overserved_tokens", entry.tokens - reserved);
        }
    }

    /** Finishes that are not in the key-value service yet. */
    getPendingFinishes(): readonly FinishEntry[] {
        return this.finishes.list();
    }

    /** Writes a claim before a non-idempotent dispatch. Returns the claim that holds; undefined once it is billed. */
    async claim(claim: Claim): Promise<Claim | undefined> {
        const standing = this.claims.add(claim);
        this.scheduleWrite();
        return await standing;
    }

    /** Writes pending settlements and recalls, if any. Throws the errors of the store. */
    async flush(): Promise<void> {
        if (this.finishes.size > 0 || this.recalls.size > 0) {
            await this.commit();
        }
    }

    /** Returns the idle part of a budget's grant to the budget; resolves with the number of tokens. */
    async recall(budget: string): Promise<number> {
        const grant = this.getGrant(budget);
        const released = grant.available;
        if (released <= 0) {
            return 0;
        }
        // Lowered before the write is sent, so that no request can reserve tokens that may have been returned.
        grant.granted -= released;
        this.recalls.add(budget);
        await this.commit();
        return released;
    }

    /** Returns grants that were idle for longer than a time. */
    async recallIdle(idleMs: number): Promise<void> {
        for (const [budget, grant] of this.grants) {
            if (grant.reserved === 0 && grant.available > 0 && this.now() - grant.lastUseMs > idleMs) {
                await this.recall(budget);
            }
        }
    }

    /** Settles all finishes and removes this incarnation from the shard; nothing may be reserved afterwards. */
    async returnGrants(): Promise<void> {
        if (this.grants.size === 0) {
            return;
        }
        await this.opts.store.commit(view => {
            const change = this.change.get(view);
            return { ...change, head: withReturnedGrants(change.head ?? view.head, this.opts.incarnation) };
        }, [this.opts.guard]);
        this.finishes.clear();
        this.grants.clear();
    }

    /** Figures for the state dump. */
    getSnapshot(): Readonly<Record<string, { granted: number; used: number; reserved: number; available: number; }>> {
        const rows = [...this.grants].map(([budget, grant]) => {
            const { granted, used, reserved, available } = grant;
            return [budget, { granted, used, reserved, available }] as const;
        });
        return Object.fromEntries(rows);
    }

    private now(): number {
        return (this.opts.now ?? Date.now)();
    }

    private getGrant(budget: string): LocalGrant {
        const grant = this.grants.get(budget) ?? new LocalGrant();
        this.grants.set(budget, grant);
        return grant;
    }

    /** Starts a write, or schedules another one after the current write. */
    private scheduleWrite(): void {
        if (this.running) {
            this.shouldRepeat = true;
            return;
        }
        this.running = true;
        void this.writePending();
    }

    private async writePending(): Promise<void> {
        do {
            this.shouldRepeat = false;
            const reserves = this.reserves.list();
            const claims = this.claims.list();
            try {
                const view = await this.commit();
                this.reserves.resolve(reserves, budget => this.getGrant(budget), this.now());
                this.claims.resolve(claims, view);
            }
            catch (err) {
                this.reserves.reject(reserves, err);
                this.claims.reject(claims, err);
            }
        }
        while (this.shouldRepeat || this.reserves.size > 0 || this.claims.size > 0);
        // In the same turn as the check of the queues; a later request would otherwise rely on a write that has ended.
        this.running = false;
    }

    private async commit(): Promise<ShardView> {
        const recalled = [...this.recalls];
        const view = await this.opts.store.commit(current => this.change.get(current), [this.opts.guard]);
        recalled.forEach(budget => this.recalls.delete(budget));
        this.applyView(view);
        return view;
    }

    private applyView(view: ShardView): void {
        const included = view.head.open[this.opts.incarnation]?.finishSeq ?? 0;
        if (this.finishes.drop(included)) {
            this.opts.onFlushed(included);
        }
        for (const [budget, grant] of this.grants) {
            if (!this.recalls.has(budget)) {
                grant.granted = getGrant(view.head, this.opts.incarnation, budget).granted;
            }
        }
    }
}
