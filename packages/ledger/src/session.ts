import { hasResult } from "@ospreyreel/errors";
import type { Bill, CopyEntry, Intent } from "@ospreyreel/types";
import type { CopyLink } from "./copy-link.js";
import { FinishWaiters } from "./finish-waiters.js";
import type { IncarnationGuard } from "./incarnation-guard.js";
import type { ShardAccount } from "./shard-account.js";

/** Options of {@link Session}; the two factories get the session itself. */
export interface SessionOptions {
    readonly incarnation: string;
    readonly guard: IncarnationGuard;
    readonly createAccount: (session: Session, shard: number) => ShardAccount;
    readonly createLink: (session: Session) => CopyLink;
    readonly shardOf: (budget: string) => number;
}

/** One incarnation: its accounts, open intents and copy. Once closed it never acts again. */
export class Session {
    readonly incarnation: string;
    readonly link: CopyLink;
    private readonly accounts = new Map<number, ShardAccount>();
    private readonly intents = new Map<string, Intent>();
    private readonly waiters = new FinishWaiters();
    private registered = false;
    private isClosed = false;
    private abandoned = false;

    constructor(private readonly opts: SessionOptions) {
        this.incarnation = opts.incarnation;
        this.link = opts.createLink(this);
    }

    /** Whether this incarnation is registered and not known to be closed, so that draws and dispatches are possible. */
    get usable(): boolean {
        return this.registered && !this.isClosed;
    }

    /** Whether this incarnation is known to be closed. */
    get closed(): boolean {
        return this.isClosed;
    }

    /** Creates the record with a copy holder. Throws the errors of the copy link. */
    async register(): Promise<void> {
        await this.link.register();
        this.registered = true;
    }

    /** The account of a budget's shard. */
    getAccount(budget: string): ShardAccount {
        const shard = this.opts.shardOf(budget);
        const account = this.accounts.get(shard) ?? this.opts.createAccount(this, shard);
        this.accounts.set(shard, account);
        return account;
    }

    /** All accounts by shard. */
    listAccounts(): ReadonlyMap<number, ShardAccount> {
        return this.accounts;
    }

    /** Runs a step; closes the session where the step throws `incarnationClosed`. */
    async runStep<T>(step: () => Promise<T>): Promise<T> {
        try {
            return await step();
        }
        catch (err) {
            if (hasResult(err, "incarnationClosed")) {
                this.close();
            }
            throw err;
        }
    }

    /**
     * Waits until the copy holder acknowledges an intent. Throws `copyUnavailable` or `incarnationClosed`; the intent
     * must not be dispatched then.
     */
    async acknowledge(intent: Intent): Promise<void> {
        this.intents.set(intent.id, intent);
        try {
            await this.runStep(() => this.link.append({ kind: "intent", intent }));
        }
        catch (err) {
            // The copy may contain the intent, also from a snapshot sent in the meantime, which no other one follows.
            // Until the copy has this finish, no later finish of the shard is settled.
            const entry = this.finishLocally(intent, 0, undefined);
            void this.runStep(() => this.link.append(entry)).catch(() => undefined);
            throw err;
        }
    }

    /**
     * Finishes an intent. Resolves with true once the copy holder has the finish. Where the copy holder is unreachable,
     * a finish with a bill waits for it and resolves with false only where this incarnation is closed or abandoned
     * first; one without a bill resolves with false immediately, since it promises nothing to any caller.
     */
    async finish(intentId: string, tokens: number, bill: Bill | undefined): Promise<boolean> {
        const intent = this.intents.get(intentId);
        if (intent === undefined) {
            return false;
        }
        const entry = this.finishLocally(intent, tokens, bill);
        // Registered before the append: a snapshot may deliver the finish while the entry itself is still in flight.
        const accepted = this.waiters.wait(intentId);
        try {
            await this.runStep(() => this.link.append(entry));
            return true;
        }
        catch {
            return bill !== undefined && !this.isClosed && !this.abandoned && await accepted;
        }
    }

    /** Stops waiting for the copy holder: pending finishes will not be sent. */
    abandon(): void {
        this.abandoned = true;
        this.waiters.endAll();
    }

    /** Confirms finishes that the copy holder has accepted; only then are they settled and their unused tokens free. */
    confirmAccepted(entries: readonly CopyEntry[]): void {
        for (const entry of entries) {
            if (entry.kind === "finish") {
                this.getAccount(entry.budget).confirm(entry.finishSeq);
                this.waiters.accept(entry.intentId);
            }
        }
    }

    /** Returns all entries that a copy holder must have. */
    getSnapshot(): readonly CopyEntry[] {
        const intents = [...this.intents.values()].map(intent => ({ kind: "intent", intent }) as const);
        const finishes = [...this.accounts.values()].flatMap(account => account.getPendingFinishes());
        return [...intents, ...finishes];
    }

    /** Number of open intents. */
    countIntents(): number {
        return this.intents.size;
    }

    /** Writes all settlements; the next flush tries failed accounts again. */
    async flush(): Promise<void> {
        const flushes = [...this.accounts.values()].map(account => this.runStep(() => account.flush()));
        await Promise.allSettled(flushes);
    }

    /** Settles all finishes, returns all grants and removes the incarnation. Throws the errors of the store. */
    async returnGrants(): Promise<void> {
        for (const account of this.accounts.values()) {
            await this.runStep(() => account.returnGrants());
        }
        await this.opts.guard.remove();
        this.close();
    }

    private close(): void {
        this.isClosed = true;
        this.waiters.endAll();
    }

    private finishLocally(intent: Intent, tokens: number, bill: Bill | undefined): CopyEntry {
        this.intents.delete(intent.id);
        return this.getAccount(intent.budget).finish(intent, tokens, bill);
    }
}
