import type { KvClient, KvEntry, KvHealth } from "@ospreyreel/kv";
import type { PeerHub } from "@ospreyreel/peer";
import type { RelayLog } from "../relay-log.js";
import type { TargetCodec } from "./target-codec.js";
import type { TargetDirectory } from "./target-directory.js";

/** Options of {@link TargetFollower}. */
export interface TargetFollowerOptions {
    /** Watches the changes under a prefix. */
    readonly watch: KvClient["watch"];
    /** Reads one entry. */
    readonly get: KvClient["get"];
    readonly health: KvHealth;
    readonly hub: PeerHub;
    readonly codec: TargetCodec;
    readonly directory: TargetDirectory;
    readonly log: RelayLog;
    /** Time after an outage of the KV service in which targets announce themselves again, in milliseconds. */
    readonly reannounceMs: number;
}

/** Timeout for notifying a peer of leaving targets, in milliseconds. */
const NOTIFY_TIMEOUT_MS = 1_000;

/**
 * Peers that each observing instance notifies: all of a small fleet, and enough that most of a large one are reached.
 */
const MAX_NOTIFIED_PEERS = 8;

/** Time after which an entry that may come from an older copy is read again, in milliseconds. */
const RECHECK_MS = 1_000;

/** Keeps the target directory current from the KV service's watch and from peers' notifications of leaving targets. */
export class TargetFollower {
    private readonly missing = new Map<string, NodeJS.Timeout>();
    /** Keys of outdated entries that are read again. */
    private readonly rechecks = new Set<string>();
    private synced = false;

    constructor(private readonly opts: TargetFollowerOptions) {}

    /** Whether the targets have been read at least once. */
    get isSynced(): boolean {
        return this.synced;
    }

    /** Starts following, until the process ends. */
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
                    this.handleMissing(codec.getTargetId(event.key));
                    break;
                case "resync":
                    this.replace(event.entries ?? []);
                    break;
            }
        });
    }

    /** Records that a target has said in a response that it leaves, and notifies peers. */
    recordLeaving(id: string): void {
        if (this.opts.directory.markLeaving(id)) {
            this.opts.log.write("target leaving", { target: id, source: "response" });
            this.notifyPeers(id);
        }
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
            log.write("target entry not decodable", { target: id });
            directory.remove(id);
            return;
        }
        const change = directory.put(target, entry.modRevision);
        if (change === "outdated") {
            this.recheckLater(entry.key);
        }
        if (change !== "updated") {
            log.write(`target ${change}`, { target: id, service: target.service, leaving: target.leaving });
        }
        if (change === "leaving") {
            this.notifyPeers(id);
        }
    }

    private replace(entries: readonly KvEntry[]): void {
        const listed = new Set(entries.map(entry => this.opts.codec.getTargetId(entry.key)));
        entries.forEach(entry => this.put(entry));
        this.opts.directory.list().filter(({ target }) => !listed.has(target.id))
            .forEach(({ target }) => this.handleMissing(target.id));
        this.synced = true;
    }

    /**
     * Removes a target immediately. After an outage of the KV service it waits first, since the lease of a running
     * target's entry may have expired.
     */
    private handleMissing(id: string | undefined): void {
        const { health, reannounceMs } = this.opts;
        if (id === undefined || this.missing.has(id)) {
            return;
        }
        if (!health.wasUnavailableWithin(reannounceMs)) {
            this.drop(id);
            return;
        }
        this.missing.set(id, setTimeout(() => this.drop(id), reannounceMs));
    }

    private drop(id: string): void {
        this.missing.delete(id);
        if (this.opts.directory.remove(id)) {
            this.opts.log.write("target removed", { target: id });
        }
    }

    /**
     * Reads an outdated entry again after a time: a target that lives has written it by then, which the watch does not tell where nothing
     * else has changed.
     */
    private recheckLater(key: string): void {
        if (this.rechecks.has(key)) {
            return;
        }
        this.rechecks.add(key);
        const recheck = async (): Promise<void> => {
            this.rechecks.delete(key);
            try {
                const entry = await this.opts.get(key);
                if (entry !== undefined) {
                    this.put(entry);
                }
            }
            catch (err) {
                this.opts.log.write("target not read", { key, cause: String(err) });
                this.recheckLater(key);
            }
        };
        setTimeout(() => void recheck(), RECHECK_MS).unref();
    }

    /** Notifies a few peers that a target is leaving, for instances that are disconnected from the KV service. */
    private notifyPeers(id: string): void {
        const { hub, log } = this.opts;
        for (const peer of hub.peers().slice(0, MAX_NOTIFIED_PEERS)) {
            hub.request(peer.incarnation, "targets.leaving", { targets: [id] }, NOTIFY_TIMEOUT_MS)
                .catch((err: unknown) => log.write("peer not notified", { peer: peer.instance, cause: String(err) }));
        }
    }
}
