import { randomUUID } from "node:crypto";
import type { BackgroundTasks } from "./background-tasks.js";
import { createSession, type SessionBase } from "./create-session.js";
import type { LedgerOptions } from "./ledger-options.js";
import type { Session } from "./session.js";

/** What a keeper needs. */
export interface SessionKeeperOptions extends SessionBase {
    readonly ledger: SessionBase["ledger"] & Pick<LedgerOptions, "idleGrantMs">;
    readonly tasks: BackgroundTasks;
}

const DEFAULT_IDLE_GRANT_MS = 60_000;

/** Keeps one session in force: registers it, settles, sees to its copy and follows a closed one with a fresh one. */
export class SessionKeeper {
    private session: Session | undefined;
    private endFirstTry: () => void = () => undefined;
    private readonly firstTry = new Promise<void>(resolve => {
        this.endFirstTry = resolve;
    });

    constructor(private readonly opts: SessionKeeperOptions) {}

    /** The session in force; undefined before the start. */
    get current(): Session | undefined {
        return this.session;
    }

    /** Resolves once registering was tried for the first time; during an outage it fails, and later turns try again. */
    async awaitFirstTry(): Promise<void> {
        await this.firstTry;
    }

    /** Starts with the hub's first incarnation; registration follows with {@link maintain}. */
    start(incarnation: string): void {
        this.session = createSession(this.opts, incarnation);
    }

    /** One turn of the background work. Throws what its steps throw. */
    async maintain(): Promise<void> {
        const { session } = this;
        if (session === undefined || this.opts.tasks.stopped) {
            return;
        }
        if (session.closed) {
            this.renew();
            return;
        }
        if (!session.usable) {
            await session.guardStep(() => session.register()).finally(this.endFirstTry);
        }
        // Without a copy nothing is confirmed, yet what was confirmed before is still settled.
        await session.guardStep(() => session.link.repair()).catch(() => undefined);
        await session.flush();
        await session.guardStep(() => this.improveCopyHolder(session));
        for (const account of session.listAccounts().values()) {
            await session.guardStep(() => account.recallIdle(this.opts.ledger.idleGrantMs ?? DEFAULT_IDLE_GRANT_MS));
        }
    }

    /** Moves the copy away from a peer that is leaving or lost. */
    async moveFrom(incarnation: string): Promise<void> {
        await this.session?.link.moveFrom(incarnation);
    }

    /** An instance that knew no peer serves without a copy, so it does not wait for the next turn once it knows one. */
    async findFirstCopyHolder(): Promise<void> {
        const { session } = this;
        if (session !== undefined && session.usable) {
            await session.guardStep(() => this.findHolderWhereNone(session));
        }
    }

    private async findHolderWhereNone({ link }: Session): Promise<void> {
        // Without a live peer a search would only write the same record again.
        if (link.copyHolder === undefined && this.opts.ledger.hub.peers().some(peer => peer.state === "live")) {
            await link.findHolder();
        }
    }

    /** Finds a copy holder where there is none, and one in another zone where there was none at the time. */
    private async improveCopyHolder(session: Session): Promise<void> {
        if (session.link.copyHolder === undefined) {
            await this.findHolderWhereNone(session);
            return;
        }
        const { hub, chooseCopyHolder } = this.opts.ledger;
        const peers = hub.peers().filter(peer => peer.state === "live");
        const current = peers.find(peer => peer.incarnation === session.link.copyHolder);
        const zone = hub.self().availabilityZone;
        if (current?.availabilityZone === zone && chooseCopyHolder(hub.self(), peers)?.availabilityZone !== zone) {
            await session.link.moveFrom(current.incarnation);
        }
    }

    /** Goes on under a fresh incarnation after another instance has closed this one. */
    private renew(): void {
        const { hub, counters, log } = this.opts.ledger;
        const incarnation = randomUUID();
        counters.add("incarnations_renewed");
        log.warn({ incarnation }, "this incarnation was closed by its copy holder; going on under a new one");
        this.start(incarnation);
        hub.updateSelf({ incarnation });
        this.opts.tasks.run(() => this.maintain());
    }
}
