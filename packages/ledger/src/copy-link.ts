import { hasResult, OspreyError } from "@ospreyreel/errors";
import type { PeerHub } from "@ospreyreel/peer";
import type { Counters, Log } from "@ospreyreel/telemetry";
import type { CopyEntry, InstanceInfo } from "@ospreyreel/types";
import pLimit from "p-limit";
import { encodeCopyEntries } from "./copy-codec.js";
import type { IncarnationGuard } from "./incarnation-guard.js";

/** Chooses which peer keeps the copy; undefined where none can. */
export type CopyHolderChoice = (self: InstanceInfo, candidates: readonly InstanceInfo[]) => InstanceInfo | undefined;

/** What a copy link needs. */
export interface CopyLinkOptions {
    readonly hub: PeerHub;
    readonly guard: IncarnationGuard;
    readonly instance: string;
    readonly incarnation: string;
    readonly choose: CopyHolderChoice;
    /** Everything open: intents and finishes that are not in the key-value service. */
    readonly getSnapshot: () => readonly CopyEntry[];
    /** Called with entries that the copy holder of the record has. */
    readonly onAccepted: (entries: readonly CopyEntry[]) => void;
    readonly counters: Counters;
    readonly log: Log;
    /** Longest wait for one acknowledgement; 500 by default. */
    readonly timeoutMs?: number;
}

interface Pending {
    readonly entry: CopyEntry;
    readonly resolve: () => void;
    readonly reject: (err: unknown) => void;
}

const DEFAULT_TIMEOUT_MS = 500;
/** After a failure, appends fail at once for this long instead of each waiting for a timeout. */
const RETRY_PAUSE_MS = 200;

/** The holder's side of its sealed copy: an intent may be dispatched only after {@link append} resolves. */
export class CopyLink {
    private holder: string | undefined;
    private generation = 0;
    private position = 0;
    /** The receiver may lack entries; it needs a snapshot before any append. */
    private broken = true;
    /** A change of copy holder may still take effect, so no acknowledgement counts until another write settled it. */
    private doubtful = false;
    private queue: Pending[] = [];
    private pumping = false;
    private failedAtMs = -Infinity;
    private registered = false;
    /** The search that runs or waits; all that ask meanwhile share it, since each search writes the record. */
    private finding: Promise<void> | undefined;
    /** Appends and moves never overlap, so that generations grow in the order in which they are sent. */
    private readonly inTurn = pLimit(1);

    constructor(private readonly opts: CopyLinkOptions) {}

    /** Incarnation that keeps the copy; undefined for none. */
    get copyHolder(): string | undefined {
        return this.holder;
    }

    /** Whether acknowledgements can be had as far as is known. */
    get healthy(): boolean {
        return !this.broken;
    }

    /**
     * Opens the first copy and creates the incarnation's record, once however often it is asked for: a record written
     * anew refuses every draw that compares the one before. Throws what the guard throws.
     */
    async register(): Promise<void> {
        await this.inTurn(async () => {
            if (!this.registered) {
                await this.change(undefined);
                this.registered = true;
            }
        });
    }

    /**
     * Sends an entry and waits for its acknowledgement. Throws `copyUnavailable` where none came, `incarnationClosed`
     * where this incarnation may not act any more.
     */
    async append(entry: CopyEntry): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.queue.push({ entry, resolve, reject });
            if (!this.pumping) {
                this.pumping = true;
                void this.pump();
            }
        });
    }

    /** Moves the copy away from a peer that is leaving or lost. Throws as {@link append} does. */
    async moveFrom(incarnation: string): Promise<void> {
        await this.inTurn(async () => {
            if (this.holder === incarnation) {
                await this.change(incarnation);
            }
        });
    }

    /** Brings a copy that lacks entries up to date. Throws as {@link append} does. */
    async repair(): Promise<void> {
        await this.inTurn(async () => {
            if (this.broken) {
                await this.send([]);
            }
        });
    }

    /** Finds a copy holder where there is none. Throws as {@link append} does. */
    async findHolder(): Promise<void> {
        this.finding ??= this.findHolderInTurn().finally(() => {
            this.finding = undefined;
        });
        await this.finding;
    }

    private async findHolderInTurn(): Promise<void> {
        await this.inTurn(async () => {
            if (this.holder === undefined) {
                await this.change(undefined);
            }
        });
    }

    private async pump(): Promise<void> {
        // One turn of the event loop lets entries of the same moment share a message.
        await Promise.resolve();
        while (this.queue.length > 0) {
            const batch = this.queue;
            this.queue = [];
            try {
                await this.inTurn(() => this.send(batch.map(pending => pending.entry)));
                batch.forEach(pending => pending.resolve());
            }
            catch (err) {
                batch.forEach(pending => pending.reject(err));
            }
        }
        // In the same turn as the last look at the queue: whoever comes later starts a new one.
        this.pumping = false;
    }

    private async send(entries: readonly CopyEntry[]): Promise<void> {
        if (!this.broken) {
            if (this.holder === undefined || await this.tryAppend(entries)) {
                this.opts.onAccepted(entries);
                return;
            }
            this.broken = true;
        }
        if (Date.now() - this.failedAtMs < RETRY_PAUSE_MS) {
            throw new OspreyError("no copy holder acknowledges", { result: "copyUnavailable" });
        }
        // The entries are part of the snapshot that either way sends.
        if (!this.doubtful && await this.tryReopen()) {
            return;
        }
        await this.change(this.holder);
    }

    private async tryAppend(entries: readonly CopyEntry[]): Promise<boolean> {
        const { hub, incarnation, counters } = this.opts;
        const { generation, position } = this;
        const req = { holder: incarnation, generation, position, entries: encodeCopyEntries(entries) };
        try {
            const answer = await hub.request(this.holder ?? "", "copy.append", req, this.timeoutMs);
            this.position += 1;
            return answer.accepted;
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
        this.broken = false;
        this.opts.onAccepted(snapshot);
        return true;
    }

    private async tryOpen(receiver: string, snapshot: readonly CopyEntry[]): Promise<boolean> {
        const { hub, incarnation } = this.opts;
        this.generation += 1;
        const req = { holder: incarnation, generation: this.generation, entries: encodeCopyEntries(snapshot) };
        try {
            const answer = await hub.request(receiver, "copy.open", req, this.timeoutMs);
            this.position = 0;
            return answer.accepted;
        }
        catch {
            return false;
        }
    }

    private async change(excluded: string | undefined): Promise<void> {
        const { counters, log, guard } = this.opts;
        this.broken = true;
        const doubtfulBefore = this.doubtful;
        try {
            const snapshot = this.opts.getSnapshot();
            const receiver = await this.openElsewhere(excluded, snapshot);
            this.doubtful = true;
            await this.writeRecord(receiver);
            this.doubtful = false;
            this.broken = false;
            this.holder = receiver;
            this.opts.onAccepted(snapshot);
            counters.add("copy_holder_changes");
            log.info({ copyHolder: receiver ?? "none", epoch: guard.current?.epoch ?? 0 }, "copy holder changed");
        }
        catch (err) {
            this.failedAtMs = Date.now();
            if (hasResult(err, "kvUnavailable")) {
                this.doubtful = doubtfulBefore;
            }
            if (hasResult(err, "incarnationClosed")) {
                throw err;
            }
            throw new OspreyError("no copy holder can be had", { result: "copyUnavailable", cause: err });
        }
    }

    private async writeRecord(copyHolder: string | undefined): Promise<void> {
        const { guard, instance } = this.opts;
        const epoch = (guard.current?.epoch ?? 0) + 1;
        await guard.write({ instance, copyHolder, epoch, state: "open" });
    }

    /** Opens the copy at the first willing peer; undefined where there is none. */
    private async openElsewhere(
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
