import type { KvClient } from "@ospreyreel/kv";
import type { PeerHub } from "@ospreyreel/peer";
import type { Counters, Log } from "@ospreyreel/telemetry";
import type { VersionedDocument } from "@ospreyreel/types";
import type { Stream } from "most";
import { setTimeout as sleep } from "node:timers/promises";
import { ContactClock } from "./contact-clock.js";
import { type AppliedEdit, type DocumentEdit, parseDocumentEdit } from "./document-edit.js";
import { type CurrentDocument, DocumentHolder } from "./document-holder.js";
import { DocumentKeys } from "./document-keys.js";
import { DocumentReader } from "./document-reader.js";
import { DocumentReplicator } from "./document-replicator.js";
import { EditWriter } from "./edit-writer.js";

/** Options of {@link ConfigStore}. */
export interface ConfigStoreOptions {
    readonly kv: KvClient;
    readonly hub: PeerHub;
    /** Prefix of every key; "/ospreyreel" by default. */
    readonly prefix?: string;
    readonly counters: Counters;
    readonly log: Log;
    /** Time between reads of the document, in addition to the watch, in milliseconds; 10,000 by default. */
    readonly pollIntervalMs?: number;
    /** Time to wait for a push before a document is requested from a peer, in milliseconds; 500 by default. */
    readonly pullDelayMs?: number;
    /** Timeout of a request to a peer, in milliseconds; 2,000 by default. */
    readonly peerTimeoutMs?: number;
    /** Number of revisions and edit ids that are stored; 1,000 by default. */
    readonly historyKept?: number;
    /** Monotonic clock in milliseconds. */
    readonly now?: () => number;
    /** Waits between attempts of a write whose reply was lost, in milliseconds. */
    readonly wait?: (ms: number) => Promise<void>;
}

/** How a new instance may get the document while the key-value service is unavailable. */
export interface LoadCurrentOptions {
    /** Names of the instances in the platform's list; this instance itself does not count. */
    readonly listedInstances: readonly string[];
}

/** Which part of the history to read. */
export interface HistoryOptions {
    /** Only revisions below this one; all by default. */
    readonly before?: number;
    /** Maximum number of revisions; 20 by default. */
    readonly limit?: number;
}

/** The operators' document in one instance: accepts edits, follows those of other instances and forwards them. */
export class ConfigStore {
    private readonly hub: PeerHub;
    private readonly counters: Counters;
    private readonly contact: ContactClock;
    private readonly holder: DocumentHolder;
    private readonly reader: DocumentReader;
    private readonly writer: EditWriter;
    private readonly replicator: DocumentReplicator;

    constructor(opts: ConfigStoreOptions) {
        const { kv, hub, counters, log, prefix = "/ospreyreel", historyKept = 1000 } = opts;
        const { pollIntervalMs = 10_000, pullDelayMs = 500, peerTimeoutMs = 2000, wait = sleep } = opts;
        const keys = new DocumentKeys(prefix);
        this.hub = hub;
        this.counters = counters;
        this.contact = new ContactClock(opts.now ?? (() => performance.now()));
        const contact = this.contact;
        const holder = new DocumentHolder({ counters, log });
        const reader = new DocumentReader({ kv, keys, contact });
        this.holder = holder;
        this.reader = reader;
        this.writer = new EditWriter({ kv, keys, reader, counters, historyKept, wait });
        const timing = { pollIntervalMs, pullDelayMs, peerTimeoutMs };
        this.replicator = new DocumentReplicator({ kv, hub, keys, holder, reader, contact, counters, ...timing });
    }

    /** Registers handlers at the hub and follows the key-value service and the peers. */
    start(): void {
        this.replicator.start();
    }

    /** Stops following the key-value service and the peers. */
    stop(): void {
        this.replicator.stop();
    }

    /** The active document; undefined before the first. */
    current(): CurrentDocument | undefined {
        return this.holder.current();
    }

    /** Emits each document when it becomes active here. */
    changes(): Stream<CurrentDocument> {
        return this.holder.changes();
    }

    /**
     * Applies an edit. Throws `badRequest`, `invalidDocument`, `documentConflict` and `keyReused` only where the edit
     * is certainly not accepted and never will be, `documentUnavailable` where this call had no effect, and
     * `documentOutcomeUnknown` otherwise. A repeat with the same edit id is safe at any time and sets `repeat`.
     */
    async apply(edit: DocumentEdit): Promise<AppliedEdit> {
        const result = await this.writer.write(parseDocumentEdit(edit), this.holder.revision());
        if (result.written !== undefined) {
            this.holder.adopt(result.written, "edit");
        }
        else {
            await this.replicator.readFromKv();
        }
        try {
            await this.writer.prune(result.revision);
        }
        catch {
            this.counters.add("config_prune_failures");
        }
        return { revision: result.revision, alreadyApplied: result.alreadyApplied };
    }

    /**
     * Makes one attempt to get the active document after a start: from the key-value service, or, while that is
     * unavailable or holds none, the highest revision among responses from a majority of the other listed instances.
     * Responses without a document do not count. Returns undefined where neither source responds or no document was
     * ever accepted.
     */
    async loadCurrent(opts: LoadCurrentOptions): Promise<CurrentDocument | undefined> {
        if (this.current() === undefined) {
            await this.replicator.readFromKv();
        }
        if (this.current() === undefined) {
            await this.readFromMajority(opts.listedInstances);
        }
        return this.current();
    }

    /** Whether the last contact to the KV service or any peer is longer ago than this; never for 0. Unit: seconds. */
    isStale(staleAfterS: number): boolean {
        if (this.hub.peers().length > 0) {
            this.contact.touch();
        }
        return this.contact.isOlderThan(staleAfterS);
    }

    /** Reads one accepted revision, or without a number the active one; throws `kvUnavailable`. */
    async getRevision(revision?: number): Promise<VersionedDocument | undefined> {
        return revision === undefined ? await this.reader.readHead() : await this.reader.readRevision(revision);
    }

    /** Reads accepted revisions, the latest first; throws `kvUnavailable`. */
    async getHistory(opts: HistoryOptions = {}): Promise<readonly VersionedDocument[]> {
        const { before = Infinity, limit = 20 } = opts;
        const head = await this.reader.readHead();
        const latest = Math.min(head?.revision ?? 0, before - 1);
        const history: VersionedDocument[] = [];
        for (let revision = latest; revision > Math.max(0, latest - limit); revision--) {
            const entry = await this.reader.readRevision(revision);
            if (entry !== undefined) {
                history.push(entry);
            }
        }
        return history;
    }

    private async readFromMajority(listed: readonly string[]): Promise<void> {
        const others = new Set(listed.filter(instance => instance !== this.hub.self().instance));
        const peers = this.hub.peers().filter(peer => others.has(peer.instance) && peer.configRevision > 0);
        const responses = await Promise.all(
            peers.map(async peer => ({ peer, res: await this.replicator.requestDocument(peer) })),
        );
        // A new instance has no document yet, so its response does not count.
        const informed = responses.filter(({ res }) => res?.document !== undefined);
        const responded = new Set(informed.map(({ peer }) => peer.instance));
        if (responded.size * 2 <= others.size) {
            return;
        }
        for (const { res } of informed) {
            this.replicator.adoptFromPeer(res?.document);
        }
    }
}
