import type { KvClient, KvEntry } from "@ospreyreel/kv";
import type { PeerHub } from "@ospreyreel/peer";
import type { InstanceInfo, PeerRequests } from "@ospreyreel/types";
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
    readonly log: RelayLog;
}

/** Timeout for a peer's document, in milliseconds; several round trips between regions. */
const PEER_TIMEOUT_MS = 500;

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
        const { watch, hub, codec, holder } = this.opts;
        hub.handle("relay.document", req => Promise.resolve(encodeDocument(holder.encoded, req.acceptsDeflate)));
        void watch(codec.prefix).observe(event => {
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
            if (change.kind !== "lost") {
                void this.fetchFromPeer(change.info);
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

    /** Requests a peer's document if it is newer. */
    private async fetchFromPeer(info: InstanceInfo): Promise<void> {
        const { hub, holder, log } = this.opts;
        if (info.configRevision <= holder.version || this.isFetching) {
            return;
        }
        this.isFetching = true;
        try {
            const req = { acceptsDeflate: true };
            const { encoded, isDeflated } = await hub.request(info.incarnation, "relay.document", req, PEER_TIMEOUT_MS);
            if (encoded !== undefined) {
                this.apply(inflateValue({ value: encoded, isDeflated: isDeflated ?? false }), info.instance);
            }
        }
        catch (err) {
            log.write("document request to peer failed", { peer: info.instance, cause: String(err) });
        }
        finally {
            this.isFetching = false;
        }
    }
}
