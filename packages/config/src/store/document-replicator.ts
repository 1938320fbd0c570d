import type { KvClient, KvEvent } from "@ospreyreel/kv";
import type { MembershipChange, PeerHub } from "@ospreyreel/peer";
import type { Counters } from "@ospreyreel/telemetry";
import type { InstanceInfo, VersionedDocument } from "@ospreyreel/types";
import { fromEvent, periodic } from "most";
import { EventEmitter } from "node:events";
import type { ContactClock } from "./contact-clock.js";
import type { DocumentHolder } from "./document-holder.js";
import type { DocumentKeys } from "./document-keys.js";
import type { DocumentReader } from "./document-reader.js";
import { decodeVersionedDocument, isVersionedDocument } from "./document-records.js";
import { getPushPeers } from "./push-peers.js";

/** Options of {@link DocumentReplicator}. */
export interface DocumentReplicatorOptions {
    readonly kv: KvClient;
    readonly hub: PeerHub;
    readonly keys: DocumentKeys;
    readonly holder: DocumentHolder;
    readonly reader: DocumentReader;
    readonly contact: ContactClock;
    readonly counters: Counters;
    /** Time between reads of the document, in addition to the watch, in milliseconds. */
    readonly pollIntervalMs: number;
    /** Time to wait for a push before a document is requested from a peer that has it, in milliseconds. */
    readonly pullDelayMs: number;
    /** Timeout of a request to a peer, in milliseconds. */
    readonly peerTimeoutMs: number;
}

/**
 * Receives new documents from the key-value service and from peers, and forwards them to peers. Documents that peers
 * push, and higher revisions that they announce, are ignored until the first document is active, since a single peer
 * may be behind the others.
 */
export class DocumentReplicator {
    private readonly opts: DocumentReplicatorOptions;
    private readonly events = new EventEmitter();
    private readonly pulling = new Set<string>();

    constructor(opts: DocumentReplicatorOptions) {
        this.opts = opts;
    }

    /** Registers the handlers at the hub and starts watching and polling. */
    start(): void {
        const { hub, kv, keys, holder, pollIntervalMs, pullDelayMs, counters } = this.opts;
        hub.handle("config.push", req => Promise.resolve(this.handlePush(req)));
        hub.handle("config.get", () => Promise.resolve({ document: this.getVersioned() }));
        const stopped = fromEvent("stop", this.events);
        const follow = (name: string, run: Promise<unknown>) => {
            run.catch(() => counters.add(`config_${name}_ended`));
        };
        follow("changes", holder.changes().takeUntil(stopped).observe(() => this.announce()));
        // Revisions that peers announced before the first document were ignored, and peers announce each only once.
        follow("first", holder.changes().take(1).takeUntil(stopped).observe(() => this.pullAll()));
        follow("watch", kv.watch(keys.document).takeUntil(stopped).observe(event => this.onKvEvent(event)));
        follow("poll", periodic(pollIntervalMs).takeUntil(stopped).observe(() => this.poll()));
        const peerChanges = hub.changes().takeUntil(stopped).tap(() => this.opts.contact.touch());
        follow("peers", peerChanges.delay(pullDelayMs).takeUntil(stopped).observe(change => this.onPeerChange(change)));
    }

    /** Stops watching and polling. */
    stop(): void {
        this.events.emit("stop");
    }

    /** Requests the document of one peer. Returns undefined where the request failed. */
    async requestDocument(
        peer: InstanceInfo,
    ): Promise<{ readonly document: VersionedDocument | undefined; } | undefined> {
        try {
            const res = await this.opts.hub.request(peer.incarnation, "config.get", {}, this.opts.peerTimeoutMs);
            this.opts.contact.touch();
            return res;
        }
        catch {
            this.opts.counters.add("config_peer_failures");
            return undefined;
        }
    }

    /** Activates a document from a peer if it is valid and its revision is higher, also as the first document. */
    adoptFromPeer(document: unknown): void {
        if (isVersionedDocument(document)) {
            this.opts.holder.adopt(document, "peer");
        }
        else if (document !== undefined) {
            this.opts.counters.add("config_rejected");
        }
    }

    /** Reads the document from the key-value service and activates it if it is valid and its revision is higher. */
    async readFromKv(): Promise<void> {
        try {
            const head = await this.opts.reader.readHead();
            if (head !== undefined) {
                this.opts.holder.adopt(head, "kv");
            }
        }
        catch {
            this.opts.counters.add("config_kv_read_failures");
        }
    }

    private getVersioned(): VersionedDocument | undefined {
        const current = this.opts.holder.current();
        if (current === undefined) {
            return undefined;
        }
        const { revision, editId, author, acceptedAtMs, text } = current;
        return { revision, editId, author, acceptedAtMs, text };
    }

    private handlePush(document: VersionedDocument): { readonly revision: number; } {
        this.opts.contact.touch();
        if (this.opts.holder.current() !== undefined) {
            this.adoptFromPeer(document);
        }
        return { revision: this.opts.holder.revision() };
    }

    private onKvEvent(event: KvEvent): void {
        this.opts.contact.touch();
        if (event.kind === "put" && event.entry.key === this.opts.keys.document) {
            try {
                this.opts.holder.adopt(decodeVersionedDocument(event.entry.value), "kv");
            }
            catch {
                this.opts.counters.add("config_rejected");
            }
        }
        else if (event.kind === "resync") {
            void this.readFromKv();
        }
    }

    private poll(): void {
        void this.readFromKv();
        this.pullAll();
    }

    private pullAll(): void {
        for (const peer of this.opts.hub.peers()) {
            void this.pull(peer);
        }
    }

    private onPeerChange(change: MembershipChange): void {
        if (change.kind !== "lost") {
            void this.pull(change.info);
        }
    }

    /** Fetches the document of a peer that has a higher revision; at most one request to a peer at a time. */
    private async pull(peer: InstanceInfo): Promise<void> {
        const revision = this.opts.holder.current()?.revision;
        if (revision === undefined || peer.configRevision <= revision || this.pulling.has(peer.incarnation)) {
            return;
        }
        this.pulling.add(peer.incarnation);
        const res = await this.requestDocument(peer);
        this.pulling.delete(peer.incarnation);
        this.adoptFromPeer(res?.document);
    }

    /** Announces the new revision to all peers and sends the document itself to a few. */
    private announce(): void {
        const { hub, holder } = this.opts;
        hub.updateSelf({ configRevision: holder.revision() });
        const peers = new Map(hub.peers().map(peer => [peer.incarnation, peer]));
        for (const incarnation of getPushPeers(hub.self().incarnation, [...peers.keys()])) {
            if ((peers.get(incarnation)?.configRevision ?? 0) < holder.revision()) {
                void this.push(incarnation);
            }
        }
    }

    private async push(incarnation: string): Promise<void> {
        const document = this.getVersioned();
        if (document === undefined) {
            return;
        }
        try {
            await this.opts.hub.request(incarnation, "config.push", document, this.opts.peerTimeoutMs);
            this.opts.contact.touch();
        }
        catch {
            this.opts.counters.add("config_peer_failures");
        }
    }
}
