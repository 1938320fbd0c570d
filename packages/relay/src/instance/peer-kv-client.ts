import { hasResult, OspreyError } from "@ospreyreel/errors";
import { KvClient, type KvEntry, type KvEvent, type KvTxn, type KvTxnResult, type RangeOptions } from "@ospreyreel/kv";
import type { PeerHub } from "@ospreyreel/peer";
import type { PeerKvOutcome } from "@ospreyreel/types";
import type { Stream } from "most";

/** Longest wait for a peer's call, in milliseconds; a slow answer of the KV service and the way. */
const PEER_CALL_TIMEOUT_MS = 600;

/** Peers asked for one call. */
const PEERS_ASKED = 2;

/** Time without asking after no peer could help, in milliseconds. */
const PAUSE_MS = 300;

/** What a client needs. */
export interface PeerKvClientOptions {
    /** The client that this instance's own calls take, and those it makes for peers. */
    readonly own: KvClient;
    readonly hub: PeerHub;
    readonly now?: () => number;
}

/** Reads and writes through a peer while the KV service serves peers but not this instance. */
export class PeerKvClient extends KvClient {
    private readonly own: KvClient;
    private readonly hub: PeerHub;
    private readonly now: () => number;
    private helper: string | undefined;
    private pausedUntilMs = 0;

    constructor(opts: PeerKvClientOptions) {
        super();
        this.own = opts.own;
        this.hub = opts.hub;
        this.now = opts.now ?? (() => performance.now());
    }

    /** Whether a peer made the last call that this instance could not make itself. */
    get hasHelper(): boolean {
        return this.helper !== undefined;
    }

    /** Makes calls for peers from now on. */
    serve(): void {
        this.hub.handle("kv.get", async ({ key }) => {
            try {
                return { outcome: "done", entry: await this.own.get(key) };
            }
            catch (err) {
                return { outcome: toOutcome(err), entry: undefined };
            }
        });
        this.hub.handle("kv.txn", async txn => {
            try {
                const { succeeded, revision } = await this.own.txn(txn);
                return { outcome: "done", succeeded, revision };
            }
            catch (err) {
                return { outcome: toOutcome(err), succeeded: false, revision: 0 };
            }
        });
    }

    override async get(key: string): Promise<KvEntry | undefined> {
        return await this.withPeers(() => this.own.get(key), async peer => {
            const { outcome, entry } = await this.hub.request(peer, "kv.get", { key }, PEER_CALL_TIMEOUT_MS);
            // A read may be made again by another peer, whatever became of it.
            return outcome === "done" ? { done: entry } : "unavailable";
        });
    }

    override async txn(txn: KvTxn): Promise<KvTxnResult> {
        const isSimple = (txn.deletes ?? []).length === 0 && (txn.onFailure ?? []).length === 0;
        const { compares, puts = [] } = txn;
        return await this.withPeers(() => this.own.txn(txn), async peer => {
            if (!isSimple) {
                return "unavailable";
            }
            const plain = { compares, puts: puts.map(({ key, value }) => ({ key, value })) };
            const res = await this.hub.request(peer, "kv.txn", plain, PEER_CALL_TIMEOUT_MS).catch(toUnknown);
            if (res.outcome === "unknown") {
                throw new OspreyError("a peer's write has no known outcome", { result: "kvOutcomeUnknown" });
            }
            return res.outcome === "done"
                ? { done: { succeeded: res.succeeded, revision: res.revision, reads: [] } }
                : "unavailable";
        });
    }

    override range(prefix: string, opts?: RangeOptions): Promise<readonly KvEntry[]> {
        return this.own.range(prefix, opts);
    }

    override grantLease(ttlS: number): Promise<string> {
        return this.own.grantLease(ttlS);
    }

    override keepLeaseAlive(leaseId: string): Promise<number> {
        return this.own.keepLeaseAlive(leaseId);
    }

    override revokeLease(leaseId: string): Promise<void> {
        return this.own.revokeLease(leaseId);
    }

    override watch(prefix: string): Stream<KvEvent> {
        return this.own.watch(prefix);
    }

    override close(): Promise<void> {
        return this.own.close();
    }

    /** Makes the own call, and after it peers' calls where the own one certainly had no effect. */
    private async withPeers<T>(
        ownCall: () => Promise<T>,
        peerCall: (peer: string) => Promise<{ readonly done: T; } | "unavailable">,
    ): Promise<T> {
        try {
            return await ownCall();
        }
        catch (err) {
            if (!hasResult(err, "kvUnavailable") || this.now() < this.pausedUntilMs) {
                throw err;
            }
            for (const peer of this.getHelpers()) {
                const result = await this.ask(peer, peerCall);
                if (result !== "unavailable") {
                    this.helper = peer;
                    return result.done;
                }
            }
            this.helper = undefined;
            this.pausedUntilMs = this.now() + PAUSE_MS;
            throw err;
        }
    }

    private async ask<T>(
        peer: string,
        peerCall: (peer: string) => Promise<{ readonly done: T; } | "unavailable">,
    ): Promise<{ readonly done: T; } | "unavailable"> {
        try {
            return await peerCall(peer);
        }
        catch (err) {
            if (hasResult(err, "kvOutcomeUnknown")) {
                throw err;
            }
            // The peer cannot be reached; another one may be.
            return "unavailable";
        }
    }

    private getHelpers(): readonly string[] {
        const peers = this.hub.peers().map(peer => peer.incarnation);
        const first = peers.filter(peer => peer === this.helper);
        const others = peers.filter(peer => peer !== this.helper).toSorted(() => Math.random() - 0.5);
        return [...first, ...others].slice(0, PEERS_ASKED);
    }
}

const toOutcome = (err: unknown): PeerKvOutcome => hasResult(err, "kvUnavailable") ? "unavailable" : "unknown";

const toUnknown = () => ({ outcome: "unknown", succeeded: false, revision: 0 }) as const;
