import { hasResult } from "@ospreyreel/errors";
import type { KvClient } from "@ospreyreel/kv";
import type { BudgetLog } from "./budget-log.js";
import type { CopyHorizon } from "./copy-horizon.js";
import type { SealStatus } from "./note-sender.js";
import type { OwnedShard } from "./owned-shard.js";
import { decodeShardRecord, encodeShardRecord, getShardKey, type ShardRecord } from "./shard-record.js";
import type { WindowPolicy } from "./window-policy.js";

/** Options of {@link ShardWriter}. */
export interface ShardWriterOptions {
    readonly kv: KvClient;
    readonly horizon: CopyHorizon;
    readonly policy: WindowPolicy;
    /** Asks witnesses whether another instance may have taken a shard over. */
    readonly findSeal: (owned: OwnedShard) => Promise<SealStatus>;
    readonly chooseWitnesses: (owned: OwnedShard) => readonly string[];
    /** Called with a shard that another instance owns. */
    readonly drop: (owned: OwnedShard) => void;
    readonly log: BudgetLog;
}

/** Most shards of one write; the platform accepts 32 keys, those of the conditions included. */
const MAX_SHARDS_PER_WRITE = 16;

/** Time after a restore in which witnesses that do not answer are asked again, in milliseconds. */
const MAX_SEARCH_MS = 2_000;

interface Write {
    readonly owned: OwnedShard;
    readonly record: ShardRecord;
}

/** Writes records of owned shards in batches, one call at a time. */
export class ShardWriter {
    private readonly queued = new Set<OwnedShard>();
    private nextWrite: Promise<void> | undefined;
    private running: Promise<void> = Promise.resolve();

    constructor(private readonly opts: ShardWriterOptions) {}

    /** Writes a shard's next bounds together with other queued shards; does not throw. */
    write(owned: OwnedShard): Promise<void> {
        this.queued.add(owned);
        this.nextWrite ??= this.running.then(() => {
            this.nextWrite = undefined;
            this.running = this.writeQueued();
            return this.running;
        });
        return this.nextWrite;
    }

    /** Writes the shards without an owner and with exact bounds; returns those that certainly are still owned. */
    async releaseOwnership(shards: readonly OwnedShard[]): Promise<readonly OwnedShard[]> {
        await Promise.all(shards.filter(owned => owned.isUncertain).map(owned => this.write(owned)));
        await this.running;
        const writes = shards.filter(owned => !owned.isUncertain)
            .map((owned): Write => ({ owned, record: owned.prepareRelease() }));
        const stillOwned: OwnedShard[] = [];
        for (let at = 0; at < writes.length; at += MAX_SHARDS_PER_WRITE) {
            const batch = writes.slice(at, at + MAX_SHARDS_PER_WRITE);
            try {
                const { succeeded } = await this.send(batch);
                if (!succeeded) {
                    batch.forEach(({ owned }) => owned.isUncertain = true);
                    stillOwned.push(...batch.map(({ owned }) => owned));
                }
            }
            catch (err) {
                // A shard that may have been written counts as released; an instance that needs it takes it over.
                stillOwned.push(...hasResult(err, "kvUnavailable") ? batch.map(({ owned }) => owned) : []);
            }
        }
        return stillOwned;
    }

    private async writeQueued(): Promise<void> {
        const batch = [...this.queued].slice(0, MAX_SHARDS_PER_WRITE);
        batch.forEach(owned => this.queued.delete(owned));
        const uncertain = batch.filter(owned => owned.isUncertain);
        await Promise.all(uncertain.map(owned => this.reread(owned)));
        const writes = batch.filter(owned => !owned.isUncertain).map(owned => this.prepare(owned));
        if (writes.length > 0) {
            await this.apply(writes);
        }
        if (this.queued.size > 0 && this.nextWrite === undefined) {
            const [first] = this.queued;
            if (first !== undefined) {
                void this.write(first);
            }
        }
    }

    private prepare(owned: OwnedShard): Write {
        const { policy, chooseWitnesses } = this.opts;
        return { owned, record: owned.prepare(policy, chooseWitnesses(owned)) };
    }

    private async apply(writes: readonly Write[]): Promise<void> {
        try {
            const result = await this.send(writes);
            if (result.succeeded) {
                writes.forEach(({ owned, record }) => owned.confirm(record, result.revision));
                this.markIfRestored(writes);
                return;
            }
            writes.forEach(({ owned }) => owned.discardPending());
            const wereLost = await Promise.all(writes.map(({ owned }) => this.reread(owned)));
            const lost = writes.filter((_, at) => wereLost[at]);
            if (lost.length > 0) {
                await this.apply(lost.map(({ owned }) => this.prepare(owned)));
            }
        }
        catch (err) {
            if (hasResult(err, "kvOutcomeUnknown")) {
                writes.forEach(({ owned }) => owned.markUncertain());
                return;
            }
            writes.forEach(({ owned }) => owned.discardPending());
        }
    }

    /**
     * Finds out after a restore whether another instance took the shard over before it, as then nobody knows the whole use; drops the
     * shard if so, or if it cannot be found out for a time. Returns whether this instance certainly is the last owner.
     */
    private async isStillOwner(owned: OwnedShard): Promise<boolean> {
        const status = await this.opts.findSeal(owned);
        const isOverdue = performance.now() - this.opts.horizon.eraKnownAtMs >= MAX_SEARCH_MS;
        if (status === "sealed" || (status === "unknown" && isOverdue)) {
            this.opts.drop(owned);
        }
        owned.isUncertain = true;
        return status === "unsealed";
    }

    /** A record that took effect after a restore was prepared before it. */
    private markIfRestored(writes: readonly Write[]): void {
        writes.filter(({ record }) => record.era !== this.opts.horizon.era).forEach(({ owned }) => {
            owned.markRestored();
            void this.write(owned);
        });
    }

    private send(writes: readonly Write[]) {
        return this.opts.kv.txn({
            compares: writes.map(({ owned }) => ({ key: getShardKey(owned.shard), modRevision: owned.revision })),
            puts: writes.map(({ owned, record }) => ({
                key: getShardKey(owned.shard),
                value: encodeShardRecord(record),
            })),
        });
    }

    /**
     * Reads a shard's record from the KV service; drops the shard where another instance owns it, or may have owned it before a
     * restore. Returns whether the service has lost the record, which then has to be written again.
     */
    private async reread(owned: OwnedShard): Promise<boolean> {
        try {
            if (owned.mayBeSuperseded && !await this.isStillOwner(owned)) {
                return false;
            }
            const entry = await this.opts.kv.get(getShardKey(owned.shard));
            const record = entry === undefined ? undefined : decodeShardRecord(entry.value);
            if (record === undefined || record.epoch < owned.epoch) {
                // Epochs only increase, and no instance removes a record.
                this.opts.log("budget record lost", {
                    shard: owned.shard,
                    epoch: owned.epoch,
                    found: record?.epoch ?? 0,
                });
                owned.revision = entry?.modRevision ?? 0;
                owned.isUncertain = false;
                return true;
            }
            const isOwn = record.epoch === owned.epoch
                && record.owner?.incarnation === owned.record.owner?.incarnation;
            if (entry === undefined || !isOwn) {
                this.opts.drop(owned);
                return false;
            }
            if (entry.modRevision === owned.revision) {
                // A write that has not taken effect may still do so; the next write decides which one is stored.
                owned.isUncertain = false;
                return false;
            }
            owned.confirm(record, entry.modRevision);
            return record.era !== this.opts.horizon.era;
        }
        catch {
            // The KV service is unavailable; the record stays uncertain and is read again before the next write.
            owned.isUncertain = true;
        }
        return false;
    }
}
