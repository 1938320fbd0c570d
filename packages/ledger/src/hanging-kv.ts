import {
    KvClient,
    type KvEntry,
    type KvEvent,
    type KvHistory,
    type KvTxn,
    type KvTxnResult,
    type RangeOptions,
} from "@ospreyreel/kv";
import type { Stream } from "most";

/** A client for tests whose reads and writes can be delayed until {@link resume} is called. */
export class HangingKv extends KvClient {
    override readonly history: KvHistory;
    private blocked: Promise<void> | undefined;
    private unblock: () => void = () => undefined;

    constructor(private readonly inner: KvClient) {
        super();
        this.history = inner.history;
    }

    /** Delays all reads and writes that start from now on. */
    hang(): void {
        this.blocked = new Promise(resolve => {
            this.unblock = resolve;
        });
    }

    /** Lets the delayed calls continue. */
    resume(): void {
        this.blocked = undefined;
        this.unblock();
    }

    override async get(key: string): Promise<KvEntry | undefined> {
        await this.blocked;
        return await this.inner.get(key);
    }

    override async range(prefix: string, opts?: RangeOptions): Promise<readonly KvEntry[]> {
        await this.blocked;
        return await this.inner.range(prefix, opts);
    }

    override async txn(txn: KvTxn): Promise<KvTxnResult> {
        await this.blocked;
        return await this.inner.txn(txn);
    }

    override async grantLease(ttlS: number): Promise<string> {
        return await this.inner.grantLease(ttlS);
    }

    override async keepLeaseAlive(leaseId: string): Promise<number> {
        return await this.inner.keepLeaseAlive(leaseId);
    }

    override async revokeLease(leaseId: string): Promise<void> {
        await this.inner.revokeLease(leaseId);
    }

    override watch(prefix: string): Stream<KvEvent> {
        return this.inner.watch(prefix);
    }

    override async close(): Promise<void> {
        await this.inner.close();
    }
}
