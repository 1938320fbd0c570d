import { hasResult, OspreyError } from "@ospreyreel/errors";
import type { PeerHub } from "@ospreyreel/peer";
import type { Counters, Log } from "@ospreyreel/telemetry";
import type { CopyEntry, InstanceInfo } from "@ospreyreel/types";
import pLimit from "p-limit";
import { encodeCopyEntries } from "./copy-codec.js";
import type { IncarnationGuard } from "./incarnation-guard.js";

/** Chooses the peer that holds the copy; undefined where no candidate can. */
export type CopyHolderChoice = (self: InstanceInfo, candidates: readonly InstanceInfo[]) => InstanceInfo | undefined;

/** Options of {@link CopyLink}. */
export interface CopyLinkOptions {
    readonly hub: PeerHub;
    readonly guard: IncarnationGuard;
    readonly instance: string;
    readonly incarnation: string;
    readonly choose: CopyHolderChoice;
    /** Returns all open intents and all finishes that are not in the key-value service. */
    readonly getSnapshot: () => readonly CopyEntry[];
    /** Called with entries that the recorded copy holder has accepted. */
    readonly onAccepted: (entries: readonly CopyEntry[]) => void;
    readonly counters: Counters;
    readonly log: Log;
    /** Longest wait for one acknowledgement, in milliseconds; 500 by default. */
    readonly timeoutMs?: number;
}

interface Pending {
    readonly entry: CopyEntry;
    readonly resolve: () => void;
    readonly reject: (err: unknown) => void;
}

const DEFAULT_TIMEOUT_MS = 500;
/** After a failure, appends fail immediately for this long instead of each waiting for a timeout. */
const RETRY_PAUSE_MS = 200;

/** The holder's connection to its copy: an intent may be dispatched only after {@link append} resolves. */
export class CopyLink {
    private holder: string | undefined;
    private generation = 0;
    private position = 0;
    /** Whether the copy holder may lack entries and has to receive a snapshot before any append. */
    private needsSnapshot = true;
    /** Whether a change of copy holder may still take effect; no acknowledgement counts until a later write decides. */
    private hasUncertainChange = false;
    private queue: Pending[] = [];
    private isSending = false;
    private failedAtMs = -Infinity;
    private registered = false;
    /** Current or queued search for a copy holder; concurrent callers share it, since each search writes the record. */
    private search: Promise<void> | undefined;
    /** Appends and moves never overlap, so that generations increase in the order in which they are sent. */
    private readonly runExclusive = pLimit(1);

    constructor(private readonly opts: CopyLinkOptions) {}

    /** Incarnation that holds the copy; undefined without one. */
    get copyHolder(): string | undefined {
        return this.holder;
    }

    /** Whether appends are expected to be acknowledged. */
    get healthy(): boolean {
        return !this.needsSnapshot;
    }

    /**
     * Opens the first copy and creates the incarnation's record. Repeated calls have no effect: rewriting the record
     * would fail every draw that compares its earlier revision. Throws the errors of {@link append}.
     */
    async register(): Promise<void> {
        await this.runExclusive(async () => {
            if (!this.registered) {
                await this.changeHolder(undefined);
                this.registered = true;
            }
        });
    }

    /**
     * Sends an entry and waits for its acknowledgement. Throws `copyUnavailable` without one, and `incarnationClosed`
     * where this incarnation is closed.
     */
    async append(entry: CopyEntry): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.queue.push({ entry, resolve, reject });
            if (!this.isSending) {
                this.isSending = true;
                void this.sendQueued();
            }
        });
    }

    /** Moves the copy away from a peer that is leaving or lost. Throws the errors of {@link append}. */
    async moveFrom(incarnation: string): Promise<void> {
        await this.runExclusive(async () => {
            if (this.holder === incarnation) {
                await this.changeHolder(incarnation);
            }
        });
    }

    /** Brings a copy that may lack entries up to date. Throws the errors of {@link append}. */
    async repair(): Promise<void> {
        await this.runExclusive(async () => {
            if (this.needsSnapshot) {
                await this.send([]);
            }
        });
    }

    /** Finds a copy holder where there is none. Throws the errors of {@link append}. */
    async findHolder(): Promise<void> {
        this.search ??= this.findHolderInTurn().finally(() => {
            this.search = undefined;
        });
        await this.search;
    }

    private async findHolderInTurn(): Promise<void> {
        await this.runExclusive(async () => {
            if (this.holder === undefined) {
                await this.changeHolder(undefined);
            }
        });
    }

    private async sendQueued(): Promise<void> {
        // One microtask turn lets concurrent entries share a message.
        await Promise.resolve();
        while (this.queue.length > 0) {
            const batch = this.queue;
            this.queue = [];
            try {
                await this.runExclusive(() => this.send(batch.map(pending => pending.entry)));
                batch.forEach(pending => pending.resolve());
            }
            catch (err) {
                batch.forEach(pending => pending.reject(err));
            }
        }
        // In the same turn as the last check of the queue, so that a later entry starts a new loop.
        this.isSending = false;
    }

    private async send(entries: readonly CopyEntry[]): Promise<void> {
        if (!this.needsSnapshot) {
            if (this.holder === undefined || await this.tryAppend(entries)) {
                this.opts.onAccepted(entries);
                return;
            }
            this.needsSnapshot = true;
        }
        if (Date.now() - this.failedAtMs < RETRY_PAUSE_MS) {
            throw new OspreyError("no copy holder acknowledges", { result: "copyUnavailable" });
        }
        // Reopening and changing the holder both send a snapshot, which includes the entries.
        if (!this.hasUncertainChange && await this.tryReopen()) {
            return;
        }
        await this.changeHolder(this.holder);
    }

    private async tryAppend(entries: readonly CopyEntry[]): Promise<boolean> {
        const { hub, incarnation, counters } = this.opts;
        const { generation, position } = this;
        const req = { holder: incarnation, generation, position, entries: encodeCopyEntries(entries) };
        try {
            const response = await hub.request(this.holder ?? "", "copy.append", req, this.timeoutMs);
            this.position += 1;
            return response.accepted;
        }
        catch {
            counters.add("copy_append_failures");
            return false;
        }
    }

    private async tryReopen(): Promise<boolean> {
        const snapshot = this.opts.getSnapshot();
        if (this.holder === undefined || !await this.tryOpen(this.holder, snapshot)) {
            return false;
        }
        this.needsSnapshot = false;
        this.opts.onAccepted(snapshot);
        return true;
    }

    private async tryOpen(receiver: string, snapshot: readonly CopyEntry[]): Promise<boolean> {
        const { hub, incarnation } = this.opts;
        this.generation += 1;
        const req = { holder: incarnation, generation: this.generation, entries: encodeCopyEntries(snapshot) };
        try {
            const response = await hub.request(receiver, "copy.open", req, this.timeoutMs);
            this.position = 0;
            return response.accepted;
        }
        catch {
            return false;
        }
    }

    private async changeHolder(excluded: string | undefined): Promise<void> {
        const { counters, log, guard } = this.opts;
        this.needsSnapshot = true;
        const hadUncertainChange = this.hasUncertainChange;
        try {
            const snapshot = this.opts.getSnapshot();
            const receiver = await this.openAtPeer(excluded, snapshot);
            this.hasUncertainChange = true;
            await this.writeRecord(receiver);
            this.hasUncertainChange = false;
            this.needsSnapshot = false;
            this.holder = receiver;
            this.opts.onAccepted(snapshot);
            counters.add("copy_holder_changes");
            log.info({ copyHolder: receiver ?? "none", epoch: guard.current?.epoch ?? 0 }, "copy holder changed");
        }
        catch (err) {
            this.failedAtMs = Date.now();
            if (hasResult(err, "kvUnavailable")) {
                this.hasUncertainChange = hadUncertainChange;
            }
            if (hasResult(err, "incarnationClosed")) {
                throw err;
            }
            throw new OspreyError("no copy holder is available", { result: "copyUnavailable", cause: err });
        }
    }

    private async writeRecord(copyHolder: string | undefined): Promise<void> {
        const { guard, instance } = this.opts;
        const epoch = (guard.current?.epoch ?? 0) + 1;
        await guard.write({ instance, copyHolder, epoch, state: "open" });
    }

    /** Opens the copy at the first peer that accepts it and returns its incarnation; undefined where none accepts. */
    private async openAtPeer(
        excluded: string | undefined,
        snapshot: readonly CopyEntry[],
    ): Promise<string | undefined> {
        const { hub, choose } = this.opts;
        let candidates = hub.peers().filter(peer => peer.state === "live" && peer.incarnation !== excluded);
        for (let peer = choose(hub.self(), candidates); peer !== undefined; peer = choose(hub.self(), candidates)) {
            const tried = peer.incarnation;
            if (await this.tryOpen(tried, snapshot)) {
                return tried;
            }
            candidates = candidates.filter(candidate => candidate.incarnation !== tried);
        }
        return undefined;
    }

    private get timeoutMs(): number {
        return this.opts.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    }
}
