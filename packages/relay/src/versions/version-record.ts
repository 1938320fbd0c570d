import type { KvClient, KvEntry } from "@ospreyreel/kv";
import { setTimeout as sleep } from "node:timers/promises";
import type { RelayLog } from "../relay-log.js";
import type { VersionHistory } from "./version-history.js";

/** Options of {@link VersionRecord}. */
export interface VersionRecordOptions {
    readonly kv: Pick<KvClient, "get" | "range" | "txn">;
    readonly history: VersionHistory;
    /** Whether this instance writes the record of a service. */
    readonly isWriter: (service: string) => boolean;
    readonly log: RelayLog;
    /** Monotonic time in milliseconds; `performance.now` by default. */
    readonly nowMs?: () => number;
    /** Waits, in milliseconds; a timer by default. */
    readonly wait?: (ms: number) => Promise<void>;
}

/** State of a service's record as it was read or written last. */
interface KnownRecord {
    readonly modRevision: number;
    readonly versions: readonly string[];
    /** Monotonic time in milliseconds. */
    readonly checkedAtMs: number;
}

const PREFIX = "ospreyreel/versions/";

/** Maximum number of services whose records are read. */
const MAX_SERVICES = 1_024;

/** Time between two comparisons of the history with the records, in milliseconds. */
const COMPARE_INTERVAL_MS = 500;

/** Time after which an unchanged record is read again, as the KV service may come back from an older copy; in milliseconds. */
const VERIFY_INTERVAL_MS = 15_000;

const RETRY_INTERVAL_MS = 1_000;

const decodeVersions = ({ value }: KvEntry): readonly string[] | undefined => {
    try {
        const versions: unknown = JSON.parse(Buffer.from(value).toString());
        return Array.isArray(versions) && versions.every(version => typeof version === "string") ? versions : undefined;
    }
    catch {
        // The caller logs it.
        return undefined;
    }
};

/**
 * Keeps in the KV service which versions of each service resumed streams may have begun at. An instance that starts while
 * no other one runs knows by it whether there was only one.
 */
export class VersionRecord {
    private readonly known = new Map<string, KnownRecord>();
    private readonly nowMs: () => number;
    private readonly wait: (ms: number) => Promise<void>;

    constructor(private readonly opts: VersionRecordOptions) {
        this.nowMs = opts.nowMs ?? (() => performance.now());
        this.wait = opts.wait ?? (ms => sleep(ms, undefined, { ref: false }));
    }

    /** Reads the records, and then keeps them current until the process ends. */
    async run(): Promise<never> {
        while (!await this.load()) {
            await this.wait(RETRY_INTERVAL_MS);
        }
        for (;;) {
            await this.saveAll();
            await this.wait(COMPARE_INTERVAL_MS);
        }
    }

    /** Reads the records of all services; returns whether the KV service answered. */
    async load(): Promise<boolean> {
        const { kv, history, log } = this.opts;
        try {
            const entries = await kv.range(PREFIX, { limit: MAX_SERVICES });
            entries.forEach(entry => this.receive(entry.key.slice(PREFIX.length), entry));
            history.completeEarlier();
            return true;
        }
        catch (err) {
            log.write("versions not read", { cause: String(err) });
            return false;
        }
    }

    /** Writes the records that this instance keeps and that differ from the history. Does not throw. */
    async saveAll(): Promise<void> {
        const { history, isWriter } = this.opts;
        const services = new Set([...history.services, ...this.known.keys()]);
        for (const service of services) {
            if (isWriter(service) && this.isDue(service)) {
                await this.save(service);
            }
        }
    }

    private isDue(service: string): boolean {
        const known = this.known.get(service);
        const versions = this.opts.history.list(service);
        return known === undefined
            ? versions.length > 0
            : known.versions.join("\n") !== versions.join("\n")
                || this.nowMs() - known.checkedAtMs > VERIFY_INTERVAL_MS;
    }

    private async save(service: string): Promise<void> {
        const { kv, history, log } = this.opts;
        const key = PREFIX + service;
        try {
            const entry = await kv.get(key);
            this.receive(service, entry);
            const versions = history.list(service);
            const { modRevision = 0, versions: stored = [] } = this.known.get(service) ?? {};
            if (versions.join("\n") === stored.join("\n")) {
                return;
            }
            const compares = [{ key, modRevision }];
            const { succeeded, revision } = await kv.txn(
                versions.length === 0
                    ? { compares, deletes: [{ key }] }
                    : { compares, puts: [{ key, value: Buffer.from(JSON.stringify(versions)) }] },
            );
            if (succeeded) {
                const written = versions.length === 0 ? 0 : revision;
                this.known.set(service, { modRevision: written, versions, checkedAtMs: this.nowMs() });
                log.write("versions written", { service, versions: versions.join(" ") });
            }
        }
        catch (err) {
            log.write("versions not written", { service, cause: String(err) });
            await this.wait(RETRY_INTERVAL_MS);
        }
    }

    /** Takes over a record; versions that another instance wrote may have served until now. */
    private receive(service: string, entry: KvEntry | undefined): void {
        const { history, log } = this.opts;
        const known = this.known.get(service);
        const modRevision = entry?.modRevision ?? 0;
        const checkedAtMs = this.nowMs();
        if (known?.modRevision === modRevision) {
            this.known.set(service, { ...known, checkedAtMs });
            return;
        }
        const decoded = entry === undefined ? [] : decodeVersions(entry);
        if (decoded === undefined) {
            log.write("versions not readable", { service });
        }
        const versions = decoded ?? [];
        if (versions.join("\n") !== history.list(service).join("\n")) {
            history.remember(service, versions);
        }
        this.known.set(service, { modRevision, versions, checkedAtMs });
    }
}
