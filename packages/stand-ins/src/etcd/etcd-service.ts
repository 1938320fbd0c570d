import type { ServerResponse } from "node:http";
import * as messages from "./etcd-messages.js";
import { EtcdStore, type StoreChange, type StoredEntry, type StoreWrite } from "./etcd-store.js";
import { LeaseTable } from "./lease-table.js";
import { toGatewayEntry, WatchHub } from "./watch-hub.js";

const { EtcdRefusal } = messages;

/** Limits of the platform's service. */
export interface EtcdLimits {
    /** Largest value in bytes; 1,048,576 by default. */
    readonly maxValueBytes?: number;
    /** Most operations in one branch of a transaction; 128 by default. */
    readonly maxTxnOps?: number;
}

const INVALID_ARGUMENT = 3;
const NOT_FOUND = 5;
const UNIMPLEMENTED = 12;
const NO_LEASE = "0";

const toKey = (base64: string): string => Buffer.from(base64, "base64").toString("latin1");
const toEnd = (base64: string | undefined): string | undefined =>
    base64 === undefined || base64 === "" ? undefined : toKey(base64);

/** The calls of the gateway against one store. */
export class EtcdService {
    /** False drops the events of watches. */
    publishing = true;
    private readonly store = new EtcdStore();
    private readonly watches = new WatchHub();
    private readonly leases: LeaseTable;
    private readonly maxValueBytes: number;
    private readonly maxTxnOps: number;

    constructor(limits: EtcdLimits = {}) {
        this.maxValueBytes = limits.maxValueBytes ?? 1_048_576;
        this.maxTxnOps = limits.maxTxnOps ?? 128;
        this.leases = new LeaseTable(leaseId => this.deleteKeysOfLease(leaseId));
    }

    /** Answers a range read. */
    range(req: messages.RangeRequest): unknown {
        return { header: this.header(), ...this.readRange(req) };
    }

    /** Answers an atomic call. */
    txn(req: messages.TxnRequest): unknown {
        const succeeded = (req.compare ?? []).every(compare => this.holds(compare));
        const branch = (succeeded ? req.success : req.failure) ?? [];
        this.checkOps(req.success ?? []);
        this.checkOps(req.failure ?? []);
        this.commit(branch.flatMap(op => this.toWrite(op)));
        const responses = branch.map(op => this.toResponse(op));
        return { header: this.header(), ...(succeeded ? { succeeded } : {}), responses };
    }

    /** Makes a lease. */
    grantLease(req: { readonly TTL?: string | number; }): unknown {
        const ttlS = Number(req.TTL ?? 0);
        if (!(ttlS > 0)) {
            throw new EtcdRefusal(INVALID_ARGUMENT, "etcdserver: lease TTL must be positive");
        }
        return { header: this.header(), ID: this.leases.grant(ttlS), TTL: String(ttlS) };
    }

    /** Renews a lease; the answer has no TTL where it has ended. */
    renewLease(req: { readonly ID: string; }): unknown {
        const ttlS = this.leases.renew(String(req.ID));
        return { result: { header: this.header(), ID: String(req.ID), ...(ttlS > 0 ? { TTL: String(ttlS) } : {}) } };
    }

    /** Ends a lease and deletes its keys. */
    revokeLease(req: { readonly ID: string; }): unknown {
        if (!this.leases.end(String(req.ID))) {
            throw new EtcdRefusal(NOT_FOUND, "etcdserver: requested lease not found");
        }
        return { header: this.header() };
    }

    /** Opens a watch that ends with the response. */
    watch(req: messages.WatchRequest, res: ServerResponse): void {
        const { key, range_end: end } = req.create_request;
        this.watches.add(res, toKey(key), toEnd(end), this.store.revision);
    }

    /** Watches whose connections are open. */
    get openWatches(): number {
        return this.watches.open;
    }

    /** Stops the timers of leases. */
    close(): void {
        this.leases.close();
    }

    private header(): Readonly<Record<string, string>> {
        return { revision: String(this.store.revision) };
    }

    private holds(compare: messages.CompareRequest): boolean {
        if (compare.target !== "MOD" || (compare.result ?? "EQUAL") !== "EQUAL") {
            throw new EtcdRefusal(UNIMPLEMENTED, "the stand-in compares MOD with EQUAL only");
        }
        return (this.store.get(toKey(compare.key))?.modRevision ?? 0) === Number(compare.mod_revision ?? 0);
    }

    private checkOps(ops: readonly messages.RequestOp[]): void {
        if (ops.length > this.maxTxnOps) {
            throw new EtcdRefusal(INVALID_ARGUMENT, "etcdserver: too many operations in txn request");
        }
        const keys = ops.flatMap(op => op.request_put?.key ?? []);
        if (new Set(keys).size !== keys.length) {
            throw new EtcdRefusal(INVALID_ARGUMENT, "etcdserver: duplicate key given in txn request");
        }
    }

    private toWrite(op: messages.RequestOp): StoreWrite[] {
        if (op.request_put !== undefined) {
            return [this.toPut(op.request_put)];
        }
        const del = op.request_delete_range;
        return del === undefined ? [] : [{ kind: "delete", key: toKey(del.key), end: toEnd(del.range_end) }];
    }

    private toPut(put: messages.PutRequest): StoreWrite {
        const lease = put.lease ?? NO_LEASE;
        if (lease !== NO_LEASE && !this.leases.has(lease)) {
            throw new EtcdRefusal(NOT_FOUND, "etcdserver: requested lease not found");
        }
        const value = put.value ?? "";
        if (Buffer.byteLength(value, "base64") > this.maxValueBytes) {
            throw new EtcdRefusal(INVALID_ARGUMENT, "etcdserver: request is too large");
        }
        return { kind: "put", key: toKey(put.key), value, lease };
    }

    private toResponse(op: messages.RequestOp): unknown {
        if (op.request_range !== undefined) {
            return { response_range: this.readRange(op.request_range) };
        }
        return op.request_put !== undefined ? { response_put: {} } : { response_delete_range: {} };
    }

    private readRange(req: messages.RangeRequest): object {
        const found: readonly StoredEntry[] = this.store.range(
            toKey(req.key),
            toEnd(req.range_end),
            Number(req.limit ?? 0),
        );
        return found.length === 0 ? {} : { kvs: found.map(toGatewayEntry), count: String(found.length) };
    }

    private deleteKeysOfLease(leaseId: string): void {
        this.commit(this.store.keysOfLease(leaseId).map(key => ({ kind: "delete", key, end: undefined })));
    }

    private commit(writes: readonly StoreWrite[]): void {
        const changes: readonly StoreChange[] = this.store.commit(writes);
        if (this.publishing && changes.length > 0) {
            this.watches.publish(changes, this.store.revision);
        }
    }
}
