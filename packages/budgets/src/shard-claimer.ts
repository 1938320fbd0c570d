import { hasResult } from "@ospreyreel/errors";
import type { KvClient, KvEntry } from "@ospreyreel/kv";
import type { PeerHub } from "@ospreyreel/peer";
import type { BudgetSealResponse } from "@ospreyreel/types";
import type { BudgetLog } from "./budget-log.js";
import { OwnedShard } from "./owned-shard.js";
import {
    type BudgetBounds,
    decodeShardRecord,
    encodeShardRecord,
    getShardKey,
    type ShardRecord,
} from "./shard-record.js";

/** Outcome of a claim. */
export type ClaimResult =
    | { readonly kind: "owned"; readonly shard: OwnedShard; }
    /** A live instance owns it. */
    | { readonly kind: "elsewhere"; readonly owner: string; }
    | { readonly kind: "unavailable"; readonly cause: string; };

/** Options of {@link ShardClaimer}. */
export interface ShardClaimerOptions {
    readonly kv: KvClient;
    readonly hub: PeerHub;
    readonly chooseWitnesses: (shard: number) => readonly string[];
    /** Whether this instance has run long enough to have discovered all live instances. */
    readonly hasDiscoveredPeers: () => boolean;
    readonly log: BudgetLog;
}

/** Witnesses that must accept a note before it counts. */
export const getNoteQuorum = (witnesses: number): number => Math.floor(witnesses / 2) + 1;

/** Witnesses that must be sealed so that no further note can count and all notes that counted are known. */
export const getSealQuorum = (witnesses: number): number => witnesses - getNoteQuorum(witnesses) + 1;

/** Longest wait for a witness of an earlier owner, in milliseconds; several round trips. */
const SEAL_TIMEOUT_MS = 250;

/** Makes this instance the owner of shards whose owner is gone. */
export class ShardClaimer {
    constructor(private readonly opts: ShardClaimerOptions) {}

    /** Claims a shard, unless a live instance owns it; does not throw. */
    async claim(shard: number): Promise<ClaimResult> {
        try {
            const entry = await this.opts.kv.get(getShardKey(shard));
            const record = entry === undefined ? undefined : decodeShardRecord(entry.value);
            const status = this.getOwnerStatus(record);
            if (status !== "gone") {
                return status === "unknown"
                    ? { kind: "unavailable", cause: "the owner has not been heard of yet" }
                    : { kind: "elsewhere", owner: status.liveOwner };
            }
            const budgets = record === undefined ? {} : await this.closeEarlierOwner(shard, record);
            return await this.write(shard, entry, record, budgets);
        }
        catch (err) {
            return { kind: "unavailable", cause: err instanceof Error ? err.message : String(err) };
        }
    }

    /** Whether the owner is alive, is certainly gone, or counts as gone because it is missing from the peers. */
    private getOwnerStatus(record: ShardRecord | undefined): "gone" | "unknown" | { readonly liveOwner: string; } {
        const { hub, hasDiscoveredPeers } = this.opts;
        const owner = record?.owner;
        // An earlier incarnation of this instance ended before this one began.
        if (owner === undefined || owner.instance === hub.self().instance) {
            return "gone";
        }
        const current = hub.peers().find(peer => peer.instance === owner.instance);
        if (current !== undefined) {
            return current.incarnation === owner.incarnation ? { liveOwner: owner.incarnation } : "gone";
        }
        return hasDiscoveredPeers() ? "gone" : "unknown";
    }

    /** Returns bounds on the earlier owner's use: from its window, its sealed notes or, failing those, its limits. */
    private async closeEarlierOwner(
        shard: number,
        record: ShardRecord,
    ): Promise<Readonly<Record<string, BudgetBounds>>> {
        const seals = record.owner === undefined ? [] : await this.sealWitnesses(shard, record);
        const mayHaveNoted = record.owner !== undefined && record.witnesses.length > 0;
        const areNotesKnown = seals.length >= getSealQuorum(record.witnesses.length);
        const getUsed = (name: string, { window, limit }: BudgetBounds): number => {
            if (!mayHaveNoted) {
                return window;
            }
            // With a seal quorum, at least one sealed witness holds each note that counted.
            const notes = seals.map(seal => seal.upTo[name] ?? 0);
            return areNotesKnown ? Math.max(window, ...notes) : limit;
        };
        const closed = Object.entries(record.budgets).map(([name, bounds]): [string, BudgetBounds] => {
            const used = getUsed(name, bounds);
            return [name, { window: used, limit: used }];
        });
        this.opts.log("budgets taken over", {
            shard,
            epoch: record.epoch + 1,
            from: record.owner?.instance ?? "nobody",
            witnesses: record.witnesses.length,
            seals: seals.length,
            lost: closed.reduce((sum, [name, { window }]) => sum + window - (record.budgets[name]?.window ?? 0), 0),
        });
        return Object.fromEntries(closed);
    }

    private async sealWitnesses(shard: number, record: ShardRecord): Promise<readonly BudgetSealResponse[]> {
        const { hub } = this.opts;
        const req = { shard, epoch: record.epoch };
        const responses = await Promise.allSettled(
            record.witnesses.map(witness => hub.request(witness, "budget.seal", req, SEAL_TIMEOUT_MS)),
        );
        return responses.filter(response => response.status === "fulfilled").map(response => response.value);
    }

    private async write(
        shard: number,
        entry: KvEntry | undefined,
        earlier: ShardRecord | undefined,
        budgets: Readonly<Record<string, BudgetBounds>>,
    ): Promise<ClaimResult> {
        const { kv, hub, chooseWitnesses } = this.opts;
        const { instance, incarnation } = hub.self();
        const record: ShardRecord = {
            epoch: (earlier?.epoch ?? 0) + 1,
            owner: { instance, incarnation },
            witnesses: chooseWitnesses(shard),
            budgets,
        };
        const key = getShardKey(shard);
        const value = encodeShardRecord(record);
        try {
            const result = await kv.txn({
                compares: [{ key, modRevision: entry?.modRevision ?? 0 }],
                puts: [{ key, value }],
            });
            return result.succeeded
                ? { kind: "owned", shard: new OwnedShard(shard, record, result.revision) }
                : { kind: "unavailable", cause: "another instance claimed the shard" };
        }
        catch (err) {
            if (!hasResult(err, "kvOutcomeUnknown")) {
                throw err;
            }
            const stored = await kv.get(key);
            return stored !== undefined && Buffer.from(stored.value).equals(Buffer.from(value))
                ? { kind: "owned", shard: new OwnedShard(shard, record, stored.modRevision) }
                : { kind: "unavailable", cause: "the claim's outcome is not known" };
        }
    }
}
