import type { KvClient, KvEntry } from "@ospreyreel/kv";
import { orderByCores, type PeerHub } from "@ospreyreel/peer";
import type { InstanceInfo, PeerRequests } from "@ospreyreel/types";
import { setTimeout as sleep } from "node:timers/promises";
import type { EvacuationFollower } from "../evacuation/evacuation-follower.js";
import type { RelayLog } from "../relay-log.js";
import { deflateValue, inflateValue } from "../watch/deflated-value.js";
import type { DocumentCodec } from "./document-codec.js";
import type { DocumentHolder } from "./document-holder.js";

/** Options of {@link DocumentFollower}. */
export interface DocumentFollowerOptions {
    /** Watches the changes under a prefix. */
    readonly watch: KvClient["watch"];
    readonly hub: PeerHub;
    readonly codec: DocumentCodec;
    readonly holder: DocumentHolder;
    /** Gets the events of the watch too, since the prefix also has the evacuations; none by default. */
    readonly evacuations?: Pick<EvacuationFollower, "handle">;
    readonly log: RelayLog;
}

/**
 * Time for the KV service's watch to bring a document that a peer has announced, in milliseconds. Without it each
 * document would be transferred twice.
 */
const WATCH_GRACE_MS = 500;

/** Timeout for a peer's document, in milliseconds; a peer that sends nothing at all is lost sooner. */
const PEER_TIMEOUT_MS = 3_000;

const encodeDocument = (
    encoded: Uint8Array | undefined,
    acceptsDeflate: boolean | undefined,
): PeerRequests["relay.document"]["res"] => {
    if (encoded === undefined) {
        return { encoded };
    }
    const { value, isDeflated = false } = deflateValue(encoded, acceptsDeflate);
    return { encoded: value, isDeflated };
};

/** Keeps the desired state current: from the KV service's watch, and from peers that have a newer one. */
export class DocumentFollower {
    private isFetching = false;

    constructor(private readonly opts: DocumentFollowerOptions) {}

    /** Starts following, until the process ends. */
    start(): void {
        const { watch, hub, codec, holder, evacuations } = this.opts;
        hub.handle("relay.document", req => Promise.resolve(encodeDocument(holder.encoded, req.acceptsDeflate)));
        void watch(codec.prefix).observe(event => {
            evacuations?.handle(event);
            switch (event.kind) {
                case "put":
                    this.applyEntry(event.entry);
                    break;
                case "resync":
                    event.entries?.forEach(entry => this.applyEntry(entry));
                    break;
                case "delete":
                    // The active state stays active until a newer one replaces it.
                    break;
            }
        });
        void hub.changes().observe(change => {
            if (change.kind !== "lost" && change.info.configRevision > holder.version) {
                void this.fetchNewer();
            }
        });
    }

    private applyEntry(entry: KvEntry): void {
        if (this.opts.codec.isDocumentKey(entry.key)) {
            this.apply(entry.value, "kv");
        }
    }

    private apply(encoded: Uint8Array, source: string): void {
        const { codec, holder, hub, log } = this.opts;
        const before = holder.version;
        const document = codec.decode(encoded);
        if (document === undefined) {
            log.write("document not decodable", { source, bytes: encoded.length });
            return;
        }
        if (holder.replaceIfNewer(document, encoded)) {
            log.write("document in force", { source, version: document.version, before });
            hub.updateSelf({ configRevision: document.version });
        }
    }

    /** Requests documents from peers, one at a time, until no peer is known to have a newer one. */
    private async fetchNewer(): Promise<void> {
        if (this.isFetching) {
            return;
        }
        this.isFetching = true;
        const failed = new Set<string>();
        try {
            for (;;) {
                await sleep(WATCH_GRACE_MS);
                const newer = this.opts.hub.peers().filter(peer => peer.configRevision > this.opts.holder.version);
                if (newer.length === 0) {
                    return;
                }
                const untried = newer.filter(peer => !failed.has(peer.incarnation));
                if (untried.length === 0) {
                    failed.clear();
                }
                const peer = this.choosePeer(untried.length > 0 ? untried : newer);
                if (peer !== undefined && !await this.fetchFromPeer(peer)) {
                    failed.add(peer.incarnation);
                }
            }
        }
        finally {
            this.isFetching = false;
        }
    }

    /** Large instances are preferred, since small ones may have slow links; each instance has its own order. */
    private choosePeer(peers: readonly InstanceInfo[]): InstanceInfo | undefined {
        return orderByCores(this.opts.hub.self().instance, peers)[0];
    }

    /** Requests a peer's document; returns whether that made this instance's document newer. */
    private async fetchFromPeer({ incarnation, instance }: InstanceInfo): Promise<boolean> {
        const { hub, holder, log } = this.opts;
        const before = holder.version;
        try {
            const req = { acceptsDeflate: true };
            const { encoded, isDeflated } = await hub.request(incarnation, "relay.document", req, PEER_TIMEOUT_MS);
            if (encoded !== undefined) {
                this.apply(inflateValue({ value: encoded, isDeflated: isDeflated ?? false }), instance);
            }
        }
        catch (err) {
            log.write("document request to peer failed", { peer: instance, cause: String(err) });
        }
        return holder.version > before;
    }
}
