import { hasResult } from "@ospreyreel/errors";
import type { KvClient, KvEntry } from "@ospreyreel/kv";
import type { PeerHub } from "@ospreyreel/peer";
import type { BudgetSealResponse } from "@ospreyreel/types";
import type { BudgetLog } from "./budget-log.js";
import type { CopyHorizon } from "./copy-horizon.js";
import type { FirstEra } from "./first-era.js";
import { getLostUse, toExactBounds } from "./lost-use.js";
import { OwnedShard } from "./owned-shard.js";
import type { OwnerSearch } from "./owner-search.js";
import {
    type BudgetBounds,
    decodeShardRecord,
    encodeShardRecord,
    getNextEpoch,
    getShardKey,
    type ShardRecord,
    type StoredBudget,
    type StoredCeiling,
} from "./shard-record.js";
import { getSealQuorum, getTakeoverQuorum } from "./witness-quorums.js";

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
    readonly horizon: CopyHorizon;
    readonly firstEra: Pick<FirstEra, "countRestores">;
    /** Finds owners that the KV service's record does not name. */
    readonly search: OwnerSearch;
    readonly getPrepaid: (budget: string) => number;
    /** Earliest era in which a budget can have been used; undefined where that is not known. */
    readonly getFirstEra: (budget: string) => number | undefined;
    readonly chooseWitnesses: (shard: number) => readonly string[];
    /** Whether this instance has run long enough to have discovered all live instances. */
    readonly hasDiscoveredPeers: () => boolean;
    readonly log: BudgetLog;
}

/** Longest wait for a witness of an earlier owner, in milliseconds; several round trips. */
const SEAL_TIMEOUT_MS = 250;

/** Time after a restore in which a live owner writes its record again, or counts as lost, in milliseconds. */
const OWNER_RETURN_MS = 2_000;

/**
 * Time for which an owner must be missing before it is replaced without proof that it has ended, in milliseconds. A killed process is
 * back by then and proves it; without the proof nothing could be handed out for the age of the oldest copy.
 */
const OWNER_RESTART_MS = 4_000;

/** Time after which it is forgotten since when an owner has been missing, in milliseconds. */
const MISSING_MEMORY_MS = 60_000;

/** The budgets of an earlier owner, with bounds on its use. */
interface ClosedBudgets {
    readonly budgets: Readonly<Record<string, StoredBudget>>;
    /** Whether nothing may be handed out until the claim is in each copy of the KV service. */
    readonly mustWait: boolean;
}

/** "ended": there is none any more, for certain. "lost": there is no contact to it, so that it may be alive. */
type OwnerStatus = "ended" | "lost" | "unknown" | { readonly liveOwner: string; };

/** An earlier owner that may be alive, and too few of its witnesses are sealed to keep it from going on after a restore. */
const isUnsafe = (record: ShardRecord, status: OwnerStatus, seals: number): boolean =>
    status === "lost" && seals < getTakeoverQuorum(record.witnesses.length);

const unavailable = (cause: string): ClaimResult => ({ kind: "unavailable", cause });

/** Makes this instance the owner of shards whose owner is gone. */
export class ShardClaimer {
    /** Monotonic times in milliseconds since which owners have been missing, by incarnation. */
    private readonly missingSinceMs = new Map<string, number>();

    constructor(private readonly opts: ShardClaimerOptions) {}

    /** Claims a shard, unless a live instance owns it; does not throw. */
    async claim(shard: number): Promise<ClaimResult> {
        try {
            const entry = await this.opts.kv.get(getShardKey(shard));
            const readAtMs = performance.now();
            const record = entry === undefined ? undefined : decodeShardRecord(entry.value);
            const { era } = this.opts.horizon;
            if (record?.era !== undefined && record.era > era) {
                return unavailable("it is not known whether the KV service came back from a copy");
            }
            const isOutdated = record?.era !== undefined && record.era < era;
            const status = isOutdated ? await this.findLaterOwner(shard) : this.getOwnerStatus(record);
            if (status === "unknown") {
                return unavailable("the owner has not been heard of yet");
            }
            if (typeof status === "object") {
                return { kind: "elsewhere", owner: status.liveOwner };
            }
            if (record === undefined) {
                return await this.write(shard, entry, record, { budgets: {}, mustWait: false });
            }
            const closed = isOutdated
                ? await this.closeOutdated(shard, record)
                : await this.closeEarlierOwner(shard, record, status, readAtMs);
            if (closed.mustWait && !isOutdated && this.mayReturn(record)) {
                return unavailable("the owner may be starting again");
            }
            return await this.write(shard, entry, record, closed);
        }
        catch (err) {
            return unavailable(err instanceof Error ? err.message : String(err));
        }
    }

    /** Whether the owner that a record of the present era names is alive. */
    private getOwnerStatus(record: ShardRecord | undefined): OwnerStatus {
        const { hub, hasDiscoveredPeers } = this.opts;
        const owner = record?.owner;
        // An earlier incarnation of this instance ended before this one began.
        if (owner === undefined || owner.instance === hub.self().instance) {
            return "ended";
        }
        const current = hub.peers().find(peer => peer.instance === owner.instance);
        if (current !== undefined) {
            return current.incarnation === owner.incarnation ? { liveOwner: owner.incarnation } : "ended";
        }
        return hasDiscoveredPeers() ? "lost" : "unknown";
    }

    /** Whether a missing owner may soon be seen as a new incarnation, which proves that the one of the record has ended. */
    private mayReturn({ owner }: ShardRecord): boolean {
        const nowMs = performance.now();
        this.missingSinceMs.forEach((sinceMs, incarnation) =>
            nowMs - sinceMs > MISSING_MEMORY_MS && this.missingSinceMs.delete(incarnation)
        );
        const incarnation = owner?.incarnation ?? "";
        const sinceMs = this.missingSinceMs.get(incarnation) ?? nowMs;
        this.missingSinceMs.set(incarnation, sinceMs);
        // Without proof nothing can be handed out for the age of the oldest copy, so that a longer wait would gain nothing.
        return nowMs - sinceMs < Math.min(OWNER_RESTART_MS, this.opts.horizon.maxCopyAgeMs);
    }

    /** The owner that a record from before a restore names may have had successors, so that the peers are asked. */
    private async findLaterOwner(shard: number): Promise<OwnerStatus> {
        const { hasDiscoveredPeers, horizon, search } = this.opts;
        if (!hasDiscoveredPeers()) {
            return "unknown";
        }
        const { owner, areAllHeard } = await search.find(shard);
        if (owner !== undefined) {
            return { liveOwner: owner };
        }
        const isOwnerLost = performance.now() - horizon.eraKnownAtMs >= OWNER_RETURN_MS;
        return areAllHeard || isOwnerLost ? "lost" : "unknown";
    }

    /** Counts what owners may have used since the copy from which the KV service came back, as the record's ceilings tell. */
    private async closeOutdated(shard: number, record: ShardRecord): Promise<ClosedBudgets> {
        const { horizon, search } = this.opts;
        const restores = horizon.era - (record.era ?? 0);
        // A later owner that is alive unnoticed must not go on after one more restore.
        const mustWait = !await search.sealAll({ shard, epoch: getNextEpoch(record, horizon.era) - 1 });
        const closed = Object.entries(record.budgets).map(([name, stored]): [string, StoredBudget] => {
            const latest = Math.max(stored.window, stored.ceilings?.at(-1)?.tokens ?? 0);
            const { used, ceiling } = getLostUse(latest, this.opts.getPrepaid(name), restores);
            const first = mustWait ? [{ tokens: used }] : [];
            return [name, { ...toExactBounds(used), ceilings: [...first, { tokens: ceiling, ageMs: 0 }] }];
        });
        this.logTakeOver(shard, record, closed, { restores, mustWait });
        return { budgets: Object.fromEntries(closed), mustWait };
    }

    /** Returns bounds on the earlier owner's use: from its window, its sealed notes or, failing those, its limits. */
    private async closeEarlierOwner(
        shard: number,
        record: ShardRecord,
        status: OwnerStatus,
        readAtMs: number,
    ): Promise<ClosedBudgets> {
        const responses = record.owner === undefined ? [] : await this.sealWitnesses(shard, record);
        // A witness of a later epoch accepts nothing of this one, and has forgotten its notes.
        const seals = responses.filter(({ laterEpoch }) => laterEpoch === undefined);
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
        const elapsedMs = performance.now() - readAtMs;
        const mustWait = isUnsafe(record, status, responses.length);
        const closed = Object.entries(record.budgets).map(([name, stored]): [string, StoredBudget] => {
            const used = getUsed(name, stored);
            const earlier = toOlder(stored.ceilings ?? this.getFirstCeilings(name, used), elapsedMs);
            const latest = earlier.at(-1)?.tokens ?? used;
            const bounds = toExactBounds(Math.min(used, latest));
            const ceilings = mustWait ? [{ tokens: bounds.window }, { tokens: latest, ageMs: 0 }] : earlier;
            return [name, { ...bounds, ceilings }];
        });
        const { length: witnesses } = record.witnesses;
        this.logTakeOver(shard, record, closed, { witnesses, seals: seals.length, mustWait });
        return { budgets: Object.fromEntries(closed), mustWait };
    }

    /** Ceilings of a budget whose record an earlier version wrote. */
    private getFirstCeilings(name: string, used: number): readonly StoredCeiling[] {
        return [{ tokens: getLostUse(used, this.opts.getPrepaid(name), 1).ceiling, ageMs: 0 }];
    }

    private logTakeOver(
        shard: number,
        record: ShardRecord,
        closed: readonly (readonly [string, BudgetBounds])[],
        fields: Readonly<Record<string, number | boolean>>,
    ): void {
        this.opts.log("budgets taken over", {
            shard,
            epoch: getNextEpoch(record, this.opts.horizon.era),
            from: record.owner?.instance ?? "nobody",
            era: this.opts.horizon.era,
            recordEra: record.era ?? "",
            ...fields,
            lost: closed.reduce((sum, [name, { window }]) => sum + window - (record.budgets[name]?.window ?? 0), 0),
        });
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
        { budgets, mustWait }: ClosedBudgets,
    ): Promise<ClaimResult> {
        const { hub, horizon, getPrepaid, getFirstEra, chooseWitnesses } = this.opts;
        const { instance, incarnation } = hub.self();
        const { era } = horizon;
        const unseenRestores = earlier === undefined
            // The shard is used for the first time, or restores have lost its record, each with another owner.
            ? await this.opts.firstEra.countRestores()
            : getUnseenRestores(earlier, era);
        if (earlier === undefined && unseenRestores > 0) {
            this.opts.log("budgets without a record", { shard, era, unseenRestores });
        }
        const record: ShardRecord = {
            epoch: getNextEpoch(earlier, era),
            era,
            unseenRestores,
            owner: { instance, incarnation },
            witnesses: chooseWitnesses(shard),
            budgets,
        };
        const revision = await this.store(shard, entry, record);
        if (revision === undefined) {
            return unavailable("another instance claimed the shard, or the claim's outcome is not known");
        }
        if (horizon.era !== era) {
            return unavailable("the KV service came back from a copy during the claim");
        }
        const storedAtMs = performance.now();
        return {
            kind: "owned",
            shard: new OwnedShard({ shard, record, revision, storedAtMs, mustWait, horizon, getPrepaid, getFirstEra }),
        };
    }

    /** Writes a record in place of an entry; returns its revision, or undefined where it is not stored for certain. */
    private async store(
        shard: number,
        entry: KvEntry | undefined,
        record: ShardRecord,
    ): Promise<number | undefined> {
        const { kv } = this.opts;
        const key = getShardKey(shard);
        const value = encodeShardRecord(record);
        try {
            const result = await kv.txn({
                compares: [{ key, modRevision: entry?.modRevision ?? 0 }],
                puts: [{ key, value }],
            });
            return result.succeeded ? result.revision : undefined;
        }
        catch (err) {
            if (!hasResult(err, "kvOutcomeUnknown")) {
                throw err;
            }
            const stored = await kv.get(key);
            return stored !== undefined && Buffer.from(stored.value).equals(Buffer.from(value))
                ? stored.modRevision
                : undefined;
        }
    }
}

/** Ceilings some time after they were read. */
const toOlder = (ceilings: readonly StoredCeiling[], elapsedMs: number): readonly StoredCeiling[] =>
    ceilings.map(({ tokens, ageMs }) =>
        ageMs === undefined ? { tokens } : { tokens, ageMs: ageMs + Math.floor(elapsedMs) }
    );

/** Restores that may have lost the use of budgets which a record does not name. */
const getUnseenRestores = ({ unseenRestores = 0, era: recordEra }: ShardRecord, era: number): number =>
    recordEra === undefined ? unseenRestores : unseenRestores + era - recordEra;
