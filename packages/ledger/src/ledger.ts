import { OspreyError } from "@ospreyreel/errors";
import type { Bill, Intent } from "@ospreyreel/types";
import { BackgroundTasks } from "./background-tasks.js";
import { CopyDependents } from "./copy-dependents.js";
import { CopyStore } from "./copy-store.js";
import { GrantDrawer } from "./grant-drawer.js";
import { IncarnationCloser } from "./incarnation-closer.js";
import { type Claim, getJournalKey } from "./journal-entry.js";
import type { BilledRequest } from "./journal-index.js";
import { getLedgerDump, type LedgerDump } from "./ledger-dump.js";
import type { LedgerOptions } from "./ledger-options.js";
import { LostHolderCloser } from "./lost-holder-closer.js";
import { LostHolderSweep } from "./lost-holder-sweep.js";
import type { AcknowledgedIntent, Reservation } from "./reservation.js";
import { SealedResolver } from "./sealed-resolver.js";
import { SessionKeeper } from "./session-keeper.js";
import type { Session } from "./session.js";
import type { ShardStore } from "./shard-store.js";
import { ShardStores } from "./shard-stores.js";

const SWEEP_INTERVAL_MS = 250;
const RESOLVE_INTERVAL_MS = 1_000;

/** Budgets at one instance: grants, reservations, settlement, claims and the copies held for other instances. */
export class Ledger {
    readonly copies: CopyStore;
    private readonly stores: ShardStores;
    private readonly tasks: BackgroundTasks;
    private readonly drawer: GrantDrawer;
    private readonly sessions: SessionKeeper;
    private readonly lost: LostHolderCloser;
    private readonly resolver: SealedResolver;
    private readonly dependents: CopyDependents;

    constructor(private readonly opts: LedgerOptions) {
        const { kv, hub, counters, log, lookup } = opts;
        const stores = new ShardStores(opts);
        const { keys } = stores;
        const copies = new CopyStore(budget => keys.shardOf(budget));
        const getIncarnation = (): string | undefined => this.incarnation;
        const getStore = (shard: number): ShardStore => stores.get(shard);
        const isGatherer = (budget: string): boolean => this.getGathererIncarnation(budget) === undefined;
        const closer = new IncarnationCloser({ kv, keys, copies, getStore, counters, log });
        const sweep = new LostHolderSweep(Math.max(1, Math.ceil((opts.sealDelayMs ?? 1_000) / SWEEP_INTERVAL_MS)));
        this.stores = stores;
        this.copies = copies;
        this.tasks = new BackgroundTasks(counters);
        this.drawer = new GrantDrawer({ ledger: opts, stores });
        this.sessions = new SessionKeeper({ ledger: opts, stores, isGatherer, tasks: this.tasks });
        this.lost = new LostHolderCloser({ hub, copies, closer, sweep, getIncarnation });
        this.resolver = new SealedResolver({
            lookup,
            counters,
            shouldResolve: record => this.shouldResolve(record.closer),
            billWindowS: stores.billWindowS,
        });
        this.dependents = new CopyDependents({ kv, hub, keys, copies, getIncarnation });
    }

    /** Current incarnation; undefined before {@link start}. */
    get incarnation(): string | undefined {
        return this.sessions.current?.incarnation;
    }

    /**
     * Starts the background tasks, which try to register until it succeeds. `incarnation` is the hub's first one. It is
     * not registered before `peersKnown` resolves: by then peers are known that can hold its copy.
     */
    start(incarnation: string, peersKnown: Promise<void> = Promise.resolve()): void {
        const { tasks, sessions, opts: { hub, flushIntervalMs } } = this;
        this.copies.serve(hub);
        hub.handle("ledger.recall", async req => ({ released: await this.releaseIdle(req.budget) }));
        hub.handle("ledger.holdings", async req => await Promise.resolve({ available: this.getAvailable(req.budget) }));
        sessions.start(incarnation);
        tasks.every(SWEEP_INTERVAL_MS, () => this.lost.closeLost());
        tasks.every(RESOLVE_INTERVAL_MS, () => this.resolver.resolveAll(this.stores.list()));
        const departures = hub.changes().filter(change => change.kind === "lost" || change.info.state === "leaving");
        tasks.runForEach(departures, change => sessions.moveFrom(change.info.incarnation));
        const arrivals = hub.changes().filter(change => change.kind !== "lost");
        tasks.runForEach(arrivals, () => sessions.findFirstCopyHolder());
        tasks.run(async () => {
            await peersKnown;
            tasks.every(flushIntervalMs ?? 1_000, () => sessions.maintain());
            await sessions.maintain();
        });
    }

    /** Whether the current incarnation is registered and not known to be closed, so that tokens can be reserved. */
    get registered(): boolean {
        return this.sessions.current?.usable ?? false;
    }

    /** Resolves after the first attempt to register; {@link registered} returns whether it succeeded. */
    async awaitFirstAttempt(): Promise<void> {
        await this.sessions.awaitFirstAttempt();
    }

    /** Tokens that could be reserved and dispatched here immediately. */
    getAvailable(budget: string): number {
        const session = this.sessions.current;
        if (session === undefined || !session.usable || !session.link.healthy || this.tasks.stopped) {
            return 0;
        }
        return session.getAccount(budget).getAvailable(budget);
    }

    /**
     * Reserves tokens. Throws `ledgerUnavailable` where no grant is available now, `budgetReserved` where running
     * requests hold the remainder, `budgetExhausted` where too little remains.
     */
    async reserve(budget: string, tokens: number): Promise<Reservation> {
        const session = this.getSession();
        await this.drawer.reserve(session, budget, tokens);
        return { budget, tokens, session };
    }

    /** Incarnation of the peer at which the remainder of a budget is gathered; undefined where it is this instance. */
    getGathererIncarnation(budget: string): string | undefined {
        return this.drawer.getGathererIncarnation(budget);
    }

    /** Releases a reservation that was not acknowledged. */
    release(reservation: Reservation): void {
        reservation.session.getAccount(reservation.budget).release(reservation.budget, reservation.tokens);
    }

    /**
     * Writes a claim for a non-idempotent request. Returns the claim that holds for the request, undefined where the
     * request is billed. Throws `claimUnavailable` where no claim can be written now.
     */
    async claim(reservation: Reservation, claim: Omit<Claim, "incarnation">): Promise<Claim | undefined> {
        const { session, budget } = reservation;
        try {
            const full = { ...claim, incarnation: session.incarnation };
            return await session.runStep(() => session.getAccount(budget).claim(full));
        }
        catch (err) {
            throw new OspreyError("no claim can be written now", { result: "claimUnavailable", cause: err });
        }
    }

    /** Waits for the copy holder to acknowledge the intent, which may then be dispatched. Throws `copyUnavailable`. */
    async acknowledge(
        reservation: Reservation,
        intent: Omit<Intent, "budget" | "reserved">,
    ): Promise<AcknowledgedIntent> {
        const { session, budget, tokens } = reservation;
        try {
            await session.acknowledge({ ...intent, budget, reserved: tokens });
        }
        catch (err) {
            throw new OspreyError("no copy holder acknowledged", { result: "copyUnavailable", cause: err });
        }
        return { intentId: intent.id, reservation };
    }

    /**
     * Finishes an intent with the tokens served. With a bill it resolves with true once the copy holder has the finish,
     * and with false where this incarnation was closed first; a complete response must not be confirmed then. Without a
     * bill it resolves with false immediately where no copy holder is reachable.
     */
    async finish(acknowledged: AcknowledgedIntent, tokens: number, bill: Bill | undefined): Promise<boolean> {
        return await acknowledged.reservation.session.finish(acknowledged.intentId, tokens, bill);
    }

    /** Returns the index entry of a billed request, as last read; undefined where it is not billed. */
    findBilled(budget: string, team: string, requestKey: string): BilledRequest | undefined {
        return this.stores.getOf(budget).getView()?.bills.get(getJournalKey(team, requestKey));
    }

    /** Returns the sealed intent of a request key, as last read. */
    findSealed(budget: string, team: string, requestKey: string): Intent | undefined {
        const sealed = this.stores.getOf(budget).getView()?.head.sealed ?? {};
        return Object.values(sealed)
            .map(record => record.intent)
            .find(intent => intent.team === team && intent.requestKey === requestKey);
    }

    /** Reads the record of a budget's shard and returns its figures. Throws `kvUnavailable`. */
    async readDump(budget: string): Promise<LedgerDump> {
        await this.stores.getOf(budget).refresh();
        return this.getDump();
    }

    /** Figures for the state dump, from the records as last read. */
    getDump(): LedgerDump {
        return getLedgerDump(this.stores.list(), this.sessions.current, this.copies);
    }

    /** Accepts no further copies and waits until the peers have moved theirs away, or until the timeout. */
    async drainCopies(timeoutMs: number): Promise<void> {
        this.copies.leave();
        await this.dependents.awaitNone(timeoutMs);
    }

    /**
     * Returns all grants, for a graceful stop; on failure the copy holder closes the incarnation. All intents must have
     * ended.
     */
    async stop(): Promise<void> {
        this.tasks.stop();
        try {
            await this.sessions.current?.returnGrants();
        }
        catch (err) {
            const reason = err instanceof Error ? err.message : String(err);
            this.opts.log.warn({ reason }, "grants not returned; the copy holder will close this incarnation");
        }
    }

    /** Ends the background tasks and returns no grants; finishes that wait for the copy holder resolve with false. */
    abort(): void {
        this.tasks.stop();
        this.sessions.current?.abandon();
    }

    /** Whether this instance resolves the intents that a closer sealed: its own and those of closers that are gone. */
    private shouldResolve(closer: string): boolean {
        return closer === this.incarnation || !this.opts.hub.peers().some(peer => peer.incarnation === closer);
    }

    private getSession(): Session {
        const session = this.sessions.current;
        if (session === undefined || !session.usable || this.tasks.stopped) {
            throw new OspreyError("this instance is not registered", { result: "ledgerUnavailable" });
        }
        return session;
    }

    private async releaseIdle(budget: string): Promise<number> {
        const session = this.sessions.current;
        if (session === undefined || !session.usable) {
            return 0;
        }
        return await session.runStep(() => session.getAccount(budget).recall(budget));
    }
}
