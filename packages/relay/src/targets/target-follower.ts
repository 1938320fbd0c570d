import type { KvClient, KvEntry, KvHealth } from "@ospreyreel/kv";
import type { PeerHub } from "@ospreyreel/peer";
import type { RelayLog } from "../relay-log.js";
import type { TargetCodec } from "./target-codec.js";
import type { TargetDirectory } from "./target-directory.js";

/** What a follower needs. */
export interface TargetFollowerOptions {
    /** Follows the changes under a prefix. */
    readonly watch: KvClient["watch"];
    readonly health: KvHealth;
    readonly hub: PeerHub;
    readonly codec: TargetCodec;
    readonly directory: TargetDirectory;
    readonly log: RelayLog;
    /** Time after an outage of the KV service in which targets announce themselves again, in milliseconds. */
    readonly returnMs: number;
}

/** Longest wait for a peer to take word of leaving targets, in milliseconds. */
const TELL_TIMEOUT_MS = 1_000;

/** Peers told by each instance that saw it; all of a small fleet, and enough of a large one that most hear of it. */
const PEERS_TOLD = 8;

/** Keeps the target directory current from the KV service's watch and from what peers tell of leaving targets. */
export class TargetFollower {
    private readonly missing = new Map<string, NodeJS.Timeout>();
    private synced = false;

    constructor(private readonly opts: TargetFollowerOptions) {}

    /** Whether the targets were read once. */
    get isSynced(): boolean {
        return this.synced;
    }

    /** Starts following; it lasts as long as the process. */
    start(): void {
        const { watch, hub, codec } = this.opts;
        hub.handle("targets.leaving", req => {
            req.targets.filter(id => this.opts.directory.markLeaving(id))
                .forEach(id => this.opts.log.write("target leaving", { target: id, source: "peer" }));
            return Promise.resolve({});
        });
        void watch(codec.prefix).observe(event => {
            switch (event.kind) {
                case "put":
                    this.put(event.entry);
                    break;
                case "delete":
                    this.noteMissing(codec.getTargetId(event.key));
                    break;
                case "resync":
                    this.replace(event.entries ?? []);
                    break;
            }
        });
    }

    private put(entry: KvEntry): void {
        const { codec, directory, log } = this.opts;
        const id = codec.getTargetId(entry.key);
        if (id === undefined) {
            return;
        }
        clearTimeout(this.missing.get(id));
        this.missing.delete(id);
        const target = codec.decode(id, entry.value);
        if (target === undefined) {
            log.write("target not readable", { target: id });
            directory.remove(id);
            return;
        }
        const change = directory.put(target);
        if (change !== "updated") {
            log.write(`target ${change}`, { target: id, service: target.service, leaving: target.leaving });
        }
        if (change === "leaving") {
            this.tellPeers(id);
        }
    }

    private replace(entries: readonly KvEntry[]): void {
        const listed = new Set(entries.map(entry => this.opts.codec.getTargetId(entry.key)));
        entries.forEach(entry => this.put(entry));
        this.opts.directory.list().filter(({ target }) => !listed.has(target.id))
            .forEach(({ target }) => this.noteMissing(target.id));
        this.synced = true;
    }

    /** Drops a target at once; after an outage only when it has not come back in time, since its entry may have lapsed. */
    private noteMissing(id: string | undefined): void {
        const { health, returnMs } = this.opts;
        if (id === undefined || this.missing.has(id)) {
            return;
        }
        if (!health.wasAwayWithin(returnMs)) {
            this.drop(id);
            return;
        }
        this.missing.set(id, setTimeout(() => this.drop(id), returnMs));
    }

    private drop(id: string): void {
        this.missing.delete(id);
        if (this.opts.directory.remove(id)) {
            this.opts.log.write("target gone", { target: id });
        }
    }

    /** Tells a few peers that a target leaves, for those that the KV service does not reach. */
    private tellPeers(id: string): void {
        const { hub, log } = this.opts;
        for (const peer of hub.peers().slice(0, PEERS_TOLD)) {
            hub.request(peer.incarnation, "targets.leaving", { targets: [id] }, TELL_TIMEOUT_MS)
                .catch((err: unknown) => log.write("peer not told", { peer: peer.instance, cause: String(err) }));
        }
    }
}
