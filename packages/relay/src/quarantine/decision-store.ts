import type { KvClient, KvEntry } from "@ospreyreel/kv";
import type { PartDecision } from "@ospreyreel/types";
import { setTimeout as sleep } from "node:timers/promises";
import { BoundedMap } from "../bounded-map.js";
import type { RelayLog } from "../relay-log.js";

/** Options of {@link DecisionStore}. */
export interface DecisionStoreOptions {
    readonly kv: Pick<KvClient, "range" | "txn">;
    readonly log: RelayLog;
    /** Unix time in milliseconds; `Date.now` by default. */
    readonly unixMs?: () => number;
    /** Waits, in milliseconds; a timer by default. */
    readonly wait?: (ms: number) => Promise<void>;
}

/** Quarantine in the KV service. */
interface StoredQuarantine {
    readonly leftMs: number;
    /** Unix time of the end, in milliseconds; clocks of instances may differ. */
    readonly endsAtMs: number;
    readonly strikes: number;
}

const PREFIX = "ospreyreel/parts/";

/** Number of attempts of a read or write while the KV service is unavailable. */
const MAX_ATTEMPTS = 30;

/** Time between two attempts, in milliseconds. */
const RETRY_INTERVAL_MS = 1_000;

/** Maximum number of entries that are read. */
const MAX_ENTRIES = 1_024;

/** Age of decisions that were read, in milliseconds; any decision of a peer counts as later. */
const READ_AGE_MS = 600_000;

const decodeEntry = ({ value }: KvEntry): StoredQuarantine | undefined => {
    try {
        const fields = JSON.parse(Buffer.from(value).toString()) as Partial<Record<keyof StoredQuarantine, unknown>>;
        const { leftMs, endsAtMs, strikes } = fields;
        return typeof leftMs === "number" && typeof endsAtMs === "number" && typeof strikes === "number"
            ? { leftMs, endsAtMs, strikes }
            : undefined;
    }
    catch {
        return undefined;
    }
};

/** Keeps quarantines in the KV service, for instances that start while no other one runs. */
export class DecisionStore {
    private readonly latest = new BoundedMap<PartDecision>(MAX_ENTRIES);
    private readonly unixMs: () => number;
    private readonly wait: (ms: number) => Promise<void>;

    constructor(private readonly opts: DecisionStoreOptions) {
        this.unixMs = opts.unixMs ?? Date.now;
        this.wait = opts.wait ?? (ms => sleep(ms, undefined, { ref: false }));
    }

    /**
     * Writes a decision, or removes the entry of a part that was cleared; a later decision replaces one that is not
     * written yet. Does not throw.
     */
    async save(decision: PartDecision): Promise<void> {
        const { part, isCleared, leftMs, strikes } = decision;
        this.latest.set(part, decision);
        const key = PREFIX + part;
        const stored: StoredQuarantine = { leftMs, endsAtMs: this.unixMs() + leftMs, strikes };
        await this.repeat("quarantine not written", async () => {
            if (this.latest.get(part) !== decision) {
                return;
            }
            const change = isCleared
                ? { deletes: [{ key }] }
                : { puts: [{ key, value: Buffer.from(JSON.stringify(stored)) }] };
            await this.opts.kv.txn({ compares: [], ...change });
        });
    }

    /** Reads the quarantines in force, and removes ended ones. Does not throw. */
    async load(): Promise<readonly PartDecision[]> {
        const entries = await this.repeat(
            "quarantines not read",
            () => this.opts.kv.range(PREFIX, { limit: MAX_ENTRIES }),
        );
        const decisions = (entries ?? []).map(entry => this.decode(entry));
        const ended = (entries ?? []).filter((_entry, index) => decisions[index] === undefined);
        for (const { key, modRevision } of ended) {
            await this.repeat(
                "quarantine not removed",
                () => this.opts.kv.txn({ compares: [{ key, modRevision }], deletes: [{ key }] }),
            );
        }
        return decisions.filter(decision => decision !== undefined);
    }

    private decode(entry: KvEntry): PartDecision | undefined {
        const stored = decodeEntry(entry);
        const leftMs = stored === undefined ? 0 : Math.min(stored.leftMs, stored.endsAtMs - this.unixMs());
        return stored === undefined || leftMs <= 0 ? undefined : {
            part: entry.key.slice(PREFIX.length),
            isCleared: false,
            msAgo: READ_AGE_MS,
            leftMs,
            strikes: stored.strikes,
            sinceMsAgo: READ_AGE_MS,
            crashes: [],
            followers: 0,
        };
    }

    private async repeat<T>(event: string, call: () => Promise<T>): Promise<T | undefined> {
        let cause = "";
        for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            try {
                return await call();
            }
            catch (err) {
                cause = String(err);
                await this.wait(RETRY_INTERVAL_MS);
            }
        }
        this.opts.log.write(event, { attempts: MAX_ATTEMPTS, cause });
        return undefined;
    }
}
