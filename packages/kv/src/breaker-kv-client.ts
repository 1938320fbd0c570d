import { hasResult, OspreyError } from "@ospreyreel/errors";
import type { Stream } from "most";
import { KvClient, type RangeOptions } from "./kv-client.js";
import type { KvEntry } from "./kv-entry.js";
import type { KvEvent } from "./kv-event.js";
import type { KvHealth } from "./kv-health.js";
import type { KvHistory } from "./kv-history.js";
import type { KvTxn, KvTxnResult } from "./kv-txn.js";

/** Rejects calls immediately while the KV service is known to be unavailable. */
export class BreakerKvClient extends KvClient {
    override readonly history: KvHistory;

    constructor(private readonly inner: KvClient, readonly health: KvHealth) {
        super();
        this.history = inner.history;
    }

    override get(key: string): Promise<KvEntry | undefined> {
        return this.guard(() => this.inner.get(key));
    }

    override range(prefix: string, opts?: RangeOptions): Promise<readonly KvEntry[]> {
        return this.guard(() => this.inner.range(prefix, opts));
    }

    override txn(txn: KvTxn): Promise<KvTxnResult> {
        return this.guard(() => this.inner.txn(txn));
    }

    override grantLease(ttlS: number): Promise<string> {
        return this.guard(() => this.inner.grantLease(ttlS));
    }

    override keepLeaseAlive(leaseId: string): Promise<number> {
        return this.guard(() => this.inner.keepLeaseAlive(leaseId));
    }

    override revokeLease(leaseId: string): Promise<void> {
        return this.guard(() => this.inner.revokeLease(leaseId));
    }

    override watch(prefix: string): Stream<KvEvent> {
        return this.inner.watch(prefix);
    }

    override close(): Promise<void> {
        return this.inner.close();
    }

    private async guard<T>(call: () => Promise<T>): Promise<T> {
        if (!this.health.tryAcquireCall()) {
            throw new OspreyError("the key-value service is known to be unavailable", { result: "kvUnavailable" });
        }
        try {
            const result = await call();
            this.health.recordSuccess();
            return result;
        }
        catch (err) {
            if (hasResult(err, "kvUnavailable") || hasResult(err, "kvOutcomeUnknown")) {
                this.health.recordFailure();
            }
            throw err;
        }
    }
}
