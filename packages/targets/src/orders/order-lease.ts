import { hasResult } from "@ospreyreel/errors";
import type { KvClient, KvEntry } from "@ospreyreel/kv";

/** Options of {@link OrderLease}. */
export interface OrderLeaseOptions {
    readonly kv: KvClient;
    /** Prefix of all keys of the fleet. */
    readonly prefix: string;
    /** Incarnation that acquires the lease. */
    readonly holder: string;
    readonly ttlS?: number;
    /** Monotonic clock, in milliseconds. */
    readonly now?: () => number;
}

/** The lease from its holder's view. */
export interface HeldLease {
    /** Fencing number, higher than that of every earlier holder. */
    readonly fencing: number;
    /** Time at which the lease was acquired, by the holder's clock. */
    readonly wonAtMs: number;
    /** Earliest time at which the lease may expire, by the holder's clock. */
    readonly endsAtMs: number;
    /** Highest document revision for which any holder has sent orders. */
    readonly documentRevision: number;
}

interface OwnLease extends HeldLease {
    readonly leaseId: string;
}

interface LeaseValue {
    readonly holder: string;
    readonly leaseId: string;
}

interface FencingValue {
    readonly fencing: number;
    readonly documentRevision: number;
}

const DEFAULT_TTL_S = 10;
const RENEWALS_PER_TTL = 3;
const INITIAL_FENCING: FencingValue = { fencing: 0, documentRevision: 0 };

const encode = (value: LeaseValue | FencingValue): Uint8Array => Buffer.from(JSON.stringify(value));

const decode = <T>(entry: KvEntry): T => JSON.parse(Buffer.from(entry.value).toString("utf8")) as T;

/** The lease of the one instance that sends orders, with a fencing number that grows with each holder. */
export class OrderLease {
    private own: OwnLease | undefined;
    /** A lease whose transaction has an unknown outcome, since its reply was lost. */
    private pending: OwnLease | undefined;
    private readonly leaseKey: string;
    private readonly fencingKey: string;
    private readonly ttlMs: number;
    private readonly now: () => number;

    constructor(private readonly opts: OrderLeaseOptions) {
        this.leaseKey = `${opts.prefix}/orders/lease`;
        this.fencingKey = `${opts.prefix}/orders/fencing`;
        this.ttlMs = (opts.ttlS ?? DEFAULT_TTL_S) * 1000;
        this.now = opts.now ?? (() => performance.now());
    }

    /** The held lease, without a call; `undefined` once it may have expired. */
    get held(): HeldLease | undefined {
        return this.own !== undefined && this.now() < this.own.endsAtMs ? this.own : undefined;
    }

    /** Renews the lease, or acquires it where nobody holds it; throws as the key-value client does. */
    async acquireOrRenew(): Promise<HeldLease | undefined> {
        if (this.held === undefined) {
            this.own = undefined;
            await this.acquire();
        }
        else if (this.held.endsAtMs - this.now() < this.ttlMs * (RENEWALS_PER_TTL - 1) / RENEWALS_PER_TTL) {
            await this.renew();
        }
        return this.held;
    }

    /** Stores the document revision in the fencing record; false where orders of a newer document were sent already. */
    async raiseDocumentRevision(documentRevision: number): Promise<boolean> {
        const { own } = this;
        if (own === undefined || documentRevision < own.documentRevision) {
            return false;
        }
        if (documentRevision === own.documentRevision) {
            return true;
        }
        const [lease, fencing] = await Promise.all([
            this.opts.kv.get(this.leaseKey),
            this.opts.kv.get(this.fencingKey),
        ]);
        if (lease === undefined || fencing === undefined || decode<LeaseValue>(lease).leaseId !== own.leaseId) {
            this.invalidate();
            return false;
        }
        const { succeeded } = await this.opts.kv.txn({
            compares: [lease, fencing].map(({ key, modRevision }) => ({ key, modRevision })),
            puts: [{ key: this.fencingKey, value: encode({ fencing: own.fencing, documentRevision }) }],
        });
        if (succeeded && this.own?.leaseId === own.leaseId) {
            this.own = { ...this.own, documentRevision };
        }
        return succeeded;
    }

    /** Discards the lease, for a holder that learns of a later one. */
    invalidate(): void {
        this.own = undefined;
    }

    /** Releases the lease, for a planned shutdown. */
    async release(): Promise<void> {
        const leaseId = this.own?.leaseId;
        this.own = undefined;
        if (leaseId !== undefined) {
            await this.opts.kv.revokeLease(leaseId);
        }
    }

    private async renew(): Promise<void> {
        const own = this.own as OwnLease;
        const requestedAtMs = this.now();
        const remainingS = await this.opts.kv.keepLeaseAlive(own.leaseId);
        this.own = remainingS > 0 ? { ...own, endsAtMs: requestedAtMs + remainingS * 1000 } : undefined;
    }

    private async acquire(): Promise<void> {
        const entry = await this.opts.kv.get(this.leaseKey);
        if (entry !== undefined) {
            this.adoptPending(decode<LeaseValue>(entry));
            return;
        }
        const fencingEntry = await this.opts.kv.get(this.fencingKey);
        const last = fencingEntry === undefined ? INITIAL_FENCING : decode<FencingValue>(fencingEntry);
        const requestedAtMs = this.now();
        const leaseId = await this.opts.kv.grantLease(this.ttlMs / 1000);
        const next: FencingValue = { ...last, fencing: last.fencing + 1 };
        const wonAtMs = this.now();
        this.pending = { ...next, leaseId, wonAtMs, endsAtMs: requestedAtMs + this.ttlMs };
        await this.putLease(leaseId, next, fencingEntry?.modRevision ?? 0);
    }

    private async putLease(leaseId: string, next: FencingValue, fencingRevision: number): Promise<void> {
        try {
            const { succeeded } = await this.opts.kv.txn({
                compares: [
                    { key: this.leaseKey, modRevision: 0 },
                    { key: this.fencingKey, modRevision: fencingRevision },
                ],
                puts: [
                    { key: this.leaseKey, value: encode({ holder: this.opts.holder, leaseId }), leaseId },
                    { key: this.fencingKey, value: encode(next) },
                ],
            });
            this.own = succeeded ? this.pending : undefined;
            this.pending = undefined;
        }
        catch (err) {
            if (!hasResult(err, "kvOutcomeUnknown")) {
                this.pending = undefined;
            }
            throw err;
        }
    }

    private adoptPending({ leaseId }: LeaseValue): void {
        if (this.pending?.leaseId === leaseId) {
            this.own = this.pending;
        }
        this.pending = undefined;
    }
}
