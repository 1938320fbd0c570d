import { randomUUID } from "node:crypto";
import type { BackgroundTasks } from "./background-tasks.js";
import { createSession, type SessionBase } from "./create-session.js";
import type { LedgerOptions } from "./ledger-options.js";
import type { Session } from "./session.js";

/** Options of {@link SessionKeeper}. */
export interface SessionKeeperOptions extends SessionBase {
    readonly ledger: SessionBase["ledger"] & Pick<LedgerOptions, "idleGrantMs">;
    readonly tasks: BackgroundTasks;
}

const DEFAULT_IDLE_GRANT_MS = 60_000;

/** Maintains the current session: registers it, settles, maintains its copy and replaces it once it is closed. */
export class SessionKeeper {
    private session: Session | undefined;
    private resolveFirstAttempt: () => void = () => undefined;
    private readonly firstAttempt = new Promise<void>(resolve => {
        this.resolveFirstAttempt = resolve;
    });

    constructor(private readonly opts: SessionKeeperOptions) {}

    /** The current session; undefined before the start. */
    get current(): Session | undefined {
        return this.session;
    }

    /** Resolves after the first attempt to register. It fails during an outage, and later runs try again. */
    async awaitFirstAttempt(): Promise<void> {
        await this.firstAttempt;
    }

    /** Starts with the hub's first incarnation; registration follows with {@link maintain}. */
    start(incarnation: string): void {
        this.session = createSession(this.opts, incarnation);
    }

    /** Runs one round of the background work. Throws the errors of its steps. */
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
            await session.runStep(() => session.register()).finally(this.resolveFirstAttempt);
        }
        // Without a copy no finish is confirmed, but finishes confirmed before are still settled.
        await session.runStep(() => session.link.repair()).catch(() => undefined);
        await session.flush();
        await session.runStep(() => this.improveCopyHolder(session));
        for (const account of session.listAccounts().values()) {
            await session.runStep(() => account.recallIdle(this.opts.ledger.idleGrantMs ?? DEFAULT_IDLE_GRANT_MS));
        }
    }

    /** Moves the copy away from a peer that is leaving or lost. */
    async moveFrom(incarnation: string): Promise<void> {
        await this.session?.link.moveFrom(incarnation);
    }

    /** Finds a copy holder as soon as a peer is known: until then the instance serves without a copy. */
    async findFirstCopyHolder(): Promise<void> {
        const { session } = this;
        if (session !== undefined && session.usable) {
            await session.runStep(() => this.findHolderIfNone(session));
        }
    }

    private async findHolderIfNone({ link }: Session): Promise<void> {
        // Without a live peer a search would only rewrite the same record.
        if (link.copyHolder === undefined && this.opts.ledger.hub.peers().some(peer => peer.state === "live")) {
            await link.findHolder();
        }
    }

    /** Finds a copy holder where there is none, or one in another zone where the current one is in the own zone. */
    private async improveCopyHolder(session: Session): Promise<void> {
        if (session.link.copyHolder === undefined) {
            await this.findHolderIfNone(session);
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

    /** Continues under a new incarnation after another instance has closed this one. */
    private renew(): void {
        const { hub, counters, log } = this.opts.ledger;
        const incarnation = randomUUID();
        counters.add("incarnations_renewed");
        log.warn({ incarnation }, "this incarnation was closed by its copy holder; continuing under a new one");
        this.start(incarnation);
        hub.updateSelf({ incarnation });
        this.opts.tasks.run(() => this.maintain());
    }
}
