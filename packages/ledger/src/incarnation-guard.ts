import { hasResult, OspreyError } from "@ospreyreel/errors";
import type { KvClient, KvCompare, KvEntry } from "@ospreyreel/kv";
import { decodeRecord, encodeRecord } from "./codec.js";
import type { IncarnationRecord } from "./incarnation-record.js";
import type { LedgerKeys } from "./ledger-keys.js";
import { ShardGuard } from "./shard-guard.js";

/** Options of {@link IncarnationGuard} and {@link ClosingGuard}. */
export interface IncarnationGuardOptions {
    readonly kv: KvClient;
    readonly keys: LedgerKeys;
    readonly incarnation: string;
}

const MAX_WRITE_ATTEMPTS = 5;

/** An incarnation's own record. Every draw and flush compares it, so that a closed incarnation can do neither. */
export class IncarnationGuard extends ShardGuard {
    private record: IncarnationRecord | undefined;
    private modRevision = 0;

    constructor(private readonly opts: IncarnationGuardOptions) {
        super();
    }

    /** The record as last written or read. */
    get current(): IncarnationRecord | undefined {
        return this.record;
    }

    private get key(): string {
        return this.opts.keys.incarnation(this.opts.incarnation);
    }

    override getCompare(): KvCompare {
        return { key: this.key, modRevision: this.modRevision };
    }

    override recheck(entry: KvEntry | undefined): void {
        if (entry === undefined) {
            throw new OspreyError("this incarnation's record is gone", { result: "incarnationClosed" });
        }
        this.adopt(entry);
        if (this.record?.state !== "open") {
            throw new OspreyError("this incarnation is being closed", { result: "incarnationClosed" });
        }
    }

    /** Reads the record again. Throws `kvUnavailable`, or `incarnationClosed` where it is gone or closing. */
    async refresh(): Promise<void> {
        this.recheck(await this.opts.kv.get(this.key));
    }

    /**
     * Writes the record. Throws `incarnationClosed` where another instance has closed the incarnation, `kvUnavailable`
     * where the write had no effect, and `kvOutcomeUnknown` where it may still take effect.
     */
    async write(next: IncarnationRecord): Promise<void> {
        let isOutcomeUnknown = false;
        for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
            try {
                await this.tryWrite(next);
            }
            catch (err) {
                if (hasResult(err, "incarnationClosed")) {
                    throw err;
                }
                isOutcomeUnknown ||= hasResult(err, "kvOutcomeUnknown");
                if (!isOutcomeUnknown) {
                    throw err;
                }
            }
            if (this.record?.epoch === next.epoch && this.record.copyHolder === next.copyHolder) {
                return;
            }
        }
        throw new OspreyError("the state of the incarnation's record is unknown", { result: "kvOutcomeUnknown" });
    }

    /** Removes the record after all grants are returned. */
    async remove(): Promise<void> {
        await this.opts.kv.txn({ compares: [this.getCompare()], deletes: [{ key: this.key }] });
    }

    private async tryWrite(next: IncarnationRecord): Promise<void> {
        const puts = [{ key: this.key, value: encodeRecord(next) }];
        const result = await this.opts.kv.txn({ compares: [this.getCompare()], puts, onFailure: [{ key: this.key }] });
        if (result.succeeded) {
            this.record = next;
            this.modRevision = result.revision;
            return;
        }
        this.adoptOwn(result.reads[0]?.[0]);
    }

    private adoptOwn(entry: KvEntry | undefined): void {
        if (entry === undefined) {
            if (this.modRevision !== 0) {
                throw new OspreyError("this incarnation's record is gone", { result: "incarnationClosed" });
            }
            return;
        }
        this.adopt(entry);
        if (this.record?.state !== "open") {
            throw new OspreyError("this incarnation is being closed", { result: "incarnationClosed" });
        }
    }

    private adopt(entry: KvEntry): void {
        this.record = decodeRecord<IncarnationRecord>(entry.value);
        this.modRevision = entry.modRevision;
    }
}

/** The closer's guard of an incarnation that it has sealed. The record says closing and does not change any more. */
export class ClosingGuard extends ShardGuard {
    private modRevision = 0;

    constructor(private readonly opts: IncarnationGuardOptions) {
        super();
    }

    override getCompare(): KvCompare {
        return { key: this.opts.keys.incarnation(this.opts.incarnation), modRevision: this.modRevision };
    }

    override recheck(entry: KvEntry | undefined): void {
        if (entry === undefined) {
            throw new OspreyError("the incarnation is closed already", { result: "incarnationClosed" });
        }
    }

    /** Marks the incarnation as closing; returns false where `closer` is not its copy holder or the record is gone. */
    async begin(closer: string): Promise<boolean> {
        const { kv } = this.opts;
        const key = this.getCompare().key;
        for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
            const entry = await kv.get(key);
            const record = entry === undefined ? undefined : decodeRecord<IncarnationRecord>(entry.value);
            if (entry === undefined || record?.copyHolder !== closer) {
                return false;
            }
            this.modRevision = entry.modRevision;
            if (record.state === "closing") {
                return true;
            }
            const value = encodeRecord({ ...record, state: "closing" });
            await this.tryBegin({ key, value });
        }
        throw new OspreyError("the incarnation's record kept changing", { result: "kvUnavailable" });
    }

    /** Removes the record once no shard names the incarnation. */
    async remove(): Promise<void> {
        const compare = this.getCompare();
        await this.opts.kv.txn({ compares: [compare], deletes: [{ key: compare.key }] });
    }

    private async tryBegin(put: { readonly key: string; readonly value: Uint8Array; }): Promise<void> {
        try {
            await this.opts.kv.txn({ compares: [this.getCompare()], puts: [put] });
        }
        catch (err) {
            // The next read shows whether the write took effect.
            if (!hasResult(err, "kvOutcomeUnknown")) {
                throw err;
            }
        }
    }
}
