import { hasResult } from "@ospreyreel/errors";
import type { KvClient } from "@ospreyreel/kv";
import type { BudgetLog } from "./budget-log.js";
import type { OwnedShard } from "./owned-shard.js";
import {
    type BudgetBounds,
    decodeShardRecord,
    encodeShardRecord,
    getShardKey,
    type ShardRecord,
} from "./shard-record.js";
import type { WindowPolicy } from "./window-policy.js";

/** Options of {@link ShardWriter}. */
export interface ShardWriterOptions {
    readonly kv: KvClient;
    readonly policy: WindowPolicy;
    readonly getPrepaid: (budget: string) => number;
    readonly chooseWitnesses: (owned: OwnedShard) => readonly string[];
    /** Called with a shard that another instance owns. */
    readonly drop: (owned: OwnedShard) => void;
    readonly log: BudgetLog;
}

/** Most shards of one write; the platform accepts 32 keys, those of the conditions included. */
const MAX_SHARDS_PER_WRITE = 16;

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
        await this.running;
        const writes = shards.filter(owned => !owned.isUncertain).map((owned): Write => {
            const budgets = [...owned.budgets.values()].map((
                { name, spent },
            ): [string, BudgetBounds] => [name, { window: spent, limit: spent }]);
            const record = { ...owned.record, owner: undefined, witnesses: [], budgets: Object.fromEntries(budgets) };
            return { owned, record };
        });
        const stillOwned: OwnedShard[] = [];
        for (let at = 0; at < writes.length; at += MAX_SHARDS_PER_WRITE) {
            const batch = writes.slice(at, at + MAX_SHARDS_PER_WRITE);
            try {
                await this.send(batch);
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
        const { policy, getPrepaid, chooseWitnesses } = this.opts;
        return { owned, record: owned.prepare(policy, getPrepaid, chooseWitnesses(owned)) };
    }

    private async apply(writes: readonly Write[]): Promise<void> {
        try {
            const result = await this.send(writes);
            if (result.succeeded) {
                writes.forEach(({ owned, record }) => owned.confirm(record, result.revision));
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
     * Reads a shard's record from the KV service; drops the shard where another instance owns it. Returns whether the
     * service has lost the record, which then has to be written again.
     */
    private async reread(owned: OwnedShard): Promise<boolean> {
        try {
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
        }
        catch {
            // The KV service is unavailable; the record stays uncertain and is read again before the next write.
            owned.isUncertain = true;
        }
        return false;
    }
}
