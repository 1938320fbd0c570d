import type { KvClient, KvEntry } from "@ospreyreel/kv";
import type { PeerHub } from "@ospreyreel/peer";
import type { InstanceInfo } from "@ospreyreel/types";
import type { RelayLog } from "../relay-log.js";
import type { DocumentCodec } from "./document-codec.js";
import type { DocumentHolder } from "./document-holder.js";

/** What a follower needs. */
export interface DocumentFollowerOptions {
    /** Follows the changes under a prefix. */
    readonly watch: KvClient["watch"];
    readonly hub: PeerHub;
    readonly codec: DocumentCodec;
    readonly holder: DocumentHolder;
    readonly log: RelayLog;
}

/** Longest wait for a peer's document, in milliseconds; several round trips between regions. */
const PEER_TIMEOUT_MS = 500;

/** Keeps the desired state current: from the KV service's watch, and from peers that have a newer one. */
export class DocumentFollower {
    private asking = false;

    constructor(private readonly opts: DocumentFollowerOptions) {}

    /** Starts following; it lasts as long as the process. */
    start(): void {
        const { watch, hub, codec, holder } = this.opts;
        hub.handle("relay.document", () => Promise.resolve({ encoded: holder.encoded }));
        void watch(codec.prefix).observe(event => {
            switch (event.kind) {
                case "put":
                    this.takeEntry(event.entry);
                    break;
                case "resync":
                    event.entries?.forEach(entry => this.takeEntry(entry));
                    break;
                case "delete":
                    // A state that was in force stays in force until a newer one comes.
                    break;
            }
        });
        void hub.changes().observe(change => {
            if (change.kind !== "lost") {
                void this.catchUp(change.info);
            }
        });
    }

    private takeEntry(entry: KvEntry): void {
        if (this.opts.codec.isDocumentKey(entry.key)) {
            this.take(entry.value, "kv");
        }
    }

    private take(encoded: Uint8Array, source: string): void {
        const { codec, holder, hub, log } = this.opts;
        const before = holder.version;
        const document = codec.decode(encoded);
        if (document === undefined) {
            log.write("document not readable", { source, bytes: encoded.length });
            return;
        }
        if (holder.offer(document, encoded)) {
            log.write("document in force", { source, version: document.version, before });
            hub.updateSelf({ configRevision: document.version });
        }
    }

    /** Asks a peer for its document where it is newer. */
    private async catchUp(info: InstanceInfo): Promise<void> {
        const { hub, holder, log } = this.opts;
        if (info.configRevision <= holder.version || this.asking) {
            return;
        }
        this.asking = true;
        try {
            const { encoded } = await hub.request(info.incarnation, "relay.document", {}, PEER_TIMEOUT_MS);
            if (encoded !== undefined) {
                this.take(encoded, info.instance);
            }
        }
        catch (err) {
            log.write("document not got from peer", { peer: info.instance, cause: String(err) });
        }
        finally {
            this.asking = false;
        }
    }
}
