import { hasResult, OspreyError } from "@ospreyreel/errors";
import { Counters } from "@ospreyreel/telemetry";
import { Stream } from "most";
import { EtcdGateway, type EtcdGatewayOptions, isNotFound } from "./etcd-gateway.js";
import {
    type GatewayKeepAlive,
    type GatewayRange,
    type GatewayTxn,
    prefixEnd,
    toBase64,
    toKvEntry,
} from "./etcd-messages.js";
import { EtcdWatch } from "./etcd-watch.js";
import { KvClient, type RangeOptions } from "./kv-client.js";
import type { KvEntry } from "./kv-entry.js";
import type { KvEvent } from "./kv-event.js";
import type { KvDelete, KvPut, KvRead, KvTxn, KvTxnResult } from "./kv-txn.js";

/** Options of {@link EtcdKvClient}. */
export interface EtcdKvClientOptions extends EtcdGatewayOptions {
    /** Counters of calls and errors. */
    readonly counters?: Counters;
    /** Time without a message after which a watch is reopened; 10,000 by default. */
    readonly watchIdleTimeoutMs?: number;
}

const DEFAULT_WATCH_IDLE_TIMEOUT_MS = 10_000;

const toRange = (req: KvRead | KvDelete): object => ({
    key: toBase64(req.key),
    ...(req.endKey === undefined ? {} : { range_end: toBase64(req.endKey) }),
});

const toPut = (put: KvPut): object => ({
    key: toBase64(put.key),
    value: toBase64(put.value),
    ...(put.leaseId === undefined ? {} : { lease: put.leaseId }),
});

const toTxn = (txn: KvTxn): object => ({
    compare: txn.compares.map(compare => ({
        key: toBase64(compare.key),
        target: "MOD",
        result: "EQUAL",
        mod_revision: String(compare.modRevision),
    })),
    success: [
        ...(txn.puts ?? []).map(put => ({ request_put: toPut(put) })),
        ...(txn.deletes ?? []).map(del => ({ request_delete_range: toRange(del) })),
    ],
    failure: (txn.onFailure ?? []).map(read => ({ request_range: toRange(read) })),
});

/** Client of an etcd v3 service through its JSON gateway. */
export class EtcdKvClient extends KvClient {
    private readonly gateway: EtcdGateway;
    private readonly counters: Counters;
    private readonly watchIdleTimeoutMs: number;
    private readonly closed = new AbortController();

    constructor(opts: EtcdKvClientOptions) {
        super();
        this.gateway = new EtcdGateway(opts);
        this.counters = opts.counters ?? new Counters();
        this.watchIdleTimeoutMs = opts.watchIdleTimeoutMs ?? DEFAULT_WATCH_IDLE_TIMEOUT_MS;
    }

    override async get(key: string): Promise<KvEntry | undefined> {
        const res = await this.read<GatewayRange>({ key: toBase64(key) });
        return (res.kvs ?? []).map(toKvEntry)[0];
    }

    override async range(prefix: string, opts: RangeOptions = {}): Promise<readonly KvEntry[]> {
        const after = Buffer.from(opts.after === undefined ? "" : `${opts.after}\0`);
        const start = Buffer.from(prefix);
        const res = await this.read<GatewayRange>({
            key: toBase64(Buffer.compare(after, start) > 0 ? after : start),
            range_end: prefixEnd(prefix),
            ...(opts.limit === undefined ? {} : { limit: String(opts.limit) }),
        });
        return (res.kvs ?? []).map(toKvEntry);
    }

    override async txn(txn: KvTxn): Promise<KvTxnResult> {
        const res = await this.write<GatewayTxn>("/v3/kv/txn", toTxn(txn));
        const succeeded = res.succeeded === true;
        const responses = succeeded ? [] : res.responses ?? [];
        return {
            succeeded,
            revision: Number(res.header.revision),
            reads: responses.map(response => (response.response_range?.kvs ?? []).map(toKvEntry)),
        };
    }

    override async grantLease(ttlS: number): Promise<string> {
        const res = await this.write<{ readonly ID: string; }>("/v3/lease/grant", { TTL: String(ttlS) });
        return res.ID;
    }

    override async keepLeaseAlive(leaseId: string): Promise<number> {
        const res = await this.write<GatewayKeepAlive>("/v3/lease/keepalive", { ID: leaseId });
        if (res.result === undefined) {
            // The gateway streams this response and so reports a failure under status 200.
            throw this.toOutcomeUnknown("the response to /v3/lease/keepalive has no result");
        }
        return Number(res.result.TTL ?? 0);
    }

    override async revokeLease(leaseId: string): Promise<void> {
        try {
            await this.write("/v3/lease/revoke", { ID: leaseId });
        }
        catch (err) {
            // A lease that has ended already needs no revocation.
            if (!isNotFound(err)) {
                throw err;
            }
        }
    }

    override watch(prefix: string): Stream<KvEvent> {
        return new Stream(
            new EtcdWatch({
                gateway: this.gateway,
                counters: this.counters,
                prefix,
                idleTimeoutMs: this.watchIdleTimeoutMs,
                closed: this.closed.signal,
            }),
        );
    }

    override async close(): Promise<void> {
        this.closed.abort();
        await this.gateway.close();
    }

    private toOutcomeUnknown(message: string): Error {
        this.counters.add("kv_errors");
        this.counters.add("kv_outcome_unknown");
        return new OspreyError(message, { result: "kvOutcomeUnknown" });
    }

    private async read<T>(body: object): Promise<T> {
        try {
            return await this.gateway.read<T>("/v3/kv/range", body, () => this.counters.add("kv_reads"));
        }
        catch (err) {
            this.counters.add("kv_errors");
            throw err;
        }
    }

    private async write<T>(path: string, body: object): Promise<T> {
        try {
            return await this.gateway.write<T>(path, body, () => this.counters.add("kv_writes"));
        }
        catch (err) {
            this.counters.add("kv_errors");
            if (hasResult(err, "kvOutcomeUnknown")) {
                this.counters.add("kv_outcome_unknown");
            }
            throw err;
        }
    }
}
