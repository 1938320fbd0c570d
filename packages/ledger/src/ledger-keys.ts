import { createHash } from "node:crypto";

const SHARD_DIGITS = 4;
const SEQ_DIGITS = 12;

/** Names of the ledger's keys under a prefix. */
export class LedgerKeys {
    constructor(private readonly prefix: string, readonly shards: number) {}

    /** All heads. */
    get heads(): string {
        return `${this.prefix}/ledger/head/`;
    }

    /** All incarnations. */
    get incarnations(): string {
        return `${this.prefix}/incarnations/`;
    }

    /** Head of a shard. */
    head(shard: number): string {
        return this.heads + String(shard).padStart(SHARD_DIGITS, "0");
    }

    /** All batches of a shard. */
    journal(shard: number): string {
        return `${this.prefix}/ledger/journal/${String(shard).padStart(SHARD_DIGITS, "0")}/`;
    }

    /** One batch of a shard. */
    batch(shard: number, seq: number): string {
        return this.journal(shard) + String(seq).padStart(SEQ_DIGITS, "0");
    }

    /** First key after all batches of a shard. */
    journalEnd(shard: number): string {
        return `${this.journal(shard)}~`;
    }

    /** Record of one incarnation. */
    incarnation(id: string): string {
        return this.incarnations + id;
    }

    /** Shard of a budget; the same in the whole fleet. */
    shardOf(budget: string): number {
        return createHash("sha256").update(budget).digest().readUInt32BE(0) % this.shards;
    }
}
