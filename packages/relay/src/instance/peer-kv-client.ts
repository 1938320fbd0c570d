import { hasResult, OspreyError } from "@ospreyreel/errors";
import {
    KvClient,
    type KvEntry,
    type KvEvent,
    type KvHistory,
    type KvTxn,
    type KvTxnResult,
    type RangeOptions,
} from "@ospreyreel/kv";
import type { PeerHub } from "@ospreyreel/peer";
import type { PeerKvOutcome } from "@ospreyreel/types";
import type { Stream } from "most";

/**
 * Timeout of a call through a peer, in milliseconds: a slow response of the KV service and the round trip to the peer.
 */
const PEER_CALL_TIMEOUT_MS = 600;

/** Maximum number of peers tried for one call. */
const MAX_PEERS_PER_CALL = 2;

/** Time in which no peer is tried again after all have failed, in milliseconds. */
const PEER_BACKOFF_MS = 300;

/** Options of {@link PeerKvClient}. */
export interface PeerKvClientOptions {
    /** Client for this instance's direct calls and for the calls that it makes for peers. */
    readonly own: KvClient;
    readonly hub: PeerHub;
    readonly now?: () => number;
}

/** Reads and writes through a peer while the KV service is reachable from peers but not from this instance. */
export class PeerKvClient extends KvClient {
    override readonly history: KvHistory;
    private readonly own: KvClient;
    private readonly hub: PeerHub;
    private readonly now: () => number;
    private helper: string | undefined;
    private pausedUntilMs = 0;

    constructor(opts: PeerKvClientOptions) {
        super();
        this.own = opts.own;
        this.history = opts.own.history;
        this.hub = opts.hub;
        this.now = opts.now ?? (() => performance.now());
    }

    /** Whether a peer made the last call that failed directly. */
    get hasHelper(): boolean {
        return this.helper !== undefined;
    }

    /** Starts making calls for peers. */
    serve(): void {
        this.hub.handle("kv.get", async ({ key }) => {
            try {
                const entry = await this.own.get(key);
                return { outcome: "done", entry, era: this.history.era };
            }
            catch (err) {
                return { outcome: toOutcome(err), entry: undefined };
            }
        });
        this.hub.handle("kv.txn", async txn => {
            try {
                const { succeeded, revision } = await this.own.txn(txn);
                return { outcome: "done", succeeded, revision, era: this.history.era };
            }
            catch (err) {
                return { outcome: toOutcome(err), succeeded: false, revision: 0 };
            }
        });
    }

    override async get(key: string): Promise<KvEntry | undefined> {
        return await this.callWithFallback(() => this.own.get(key), async peer => {
            const sentAtMs = this.now();
            const { outcome, entry, era } = await this.hub.request(peer, "kv.get", { key }, PEER_CALL_TIMEOUT_MS);
            this.recordEra(era, sentAtMs);
            // A read may be repeated through another peer, whatever its outcome.
            return outcome === "done" ? { done: entry } : "unavailable";
        });
    }

    override async txn(txn: KvTxn): Promise<KvTxnResult> {
        const isSimple = (txn.deletes ?? []).length === 0 && (txn.onFailure ?? []).length === 0;
        const { compares, puts = [] } = txn;
        return await this.callWithFallback(() => this.own.txn(txn), async peer => {
            if (!isSimple) {
                return "unavailable";
            }
            const plain = { compares, puts: puts.map(({ key, value }) => ({ key, value })) };
            const sentAtMs = this.now();
            const res = await this.hub.request(peer, "kv.txn", plain, PEER_CALL_TIMEOUT_MS).catch(toUnknownOutcome);
            this.recordEra(res.era, sentAtMs);
            if (res.outcome === "unknown") {
                throw new OspreyError("the outcome of a peer's write is unknown", { result: "kvOutcomeUnknown" });
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

    /** Makes the call directly; if it certainly had no effect, makes it through peers. */
    private async callWithFallback<T>(
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
                const result = await this.callPeer(peer, peerCall);
                if (result !== "unavailable") {
                    this.helper = peer;
                    return result.done;
                }
            }
            this.helper = undefined;
            this.pausedUntilMs = this.now() + PEER_BACKOFF_MS;
            throw err;
        }
    }

    private async callPeer<T>(
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
            // The peer is unreachable; another one may be reachable.
            return "unavailable";
        }
    }

    /** A peer of an earlier build tells no era. */
    private recordEra(era: number | undefined, sentAtMs: number): void {
        if (era !== undefined) {
            this.history.record(era, sentAtMs);
        }
    }

    private getHelpers(): readonly string[] {
        const peers = this.hub.peers().map(peer => peer.incarnation);
        const first = peers.filter(peer => peer === this.helper);
        const others = peers.filter(peer => peer !== this.helper).toSorted(() => Math.random() - 0.5);
        return [...first, ...others].slice(0, MAX_PEERS_PER_CALL);
    }
}

const toOutcome = (err: unknown): PeerKvOutcome => hasResult(err, "kvUnavailable") ? "unavailable" : "unknown";

const toUnknownOutcome = () => ({ outcome: "unknown", succeeded: false, revision: 0, era: undefined }) as const;
