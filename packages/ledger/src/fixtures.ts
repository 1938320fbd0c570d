import { EtcdKvClient, type KvClient } from "@ospreyreel/kv";
import { chooseCopyHolder } from "@ospreyreel/peer";
import type { MemoryHub, MemoryNetwork } from "@ospreyreel/peer/fixtures";
import type { EtcdStandIn } from "@ospreyreel/stand-ins";
import { Counters, createLog } from "@ospreyreel/telemetry";
import type { Intent } from "@ospreyreel/types";
import { setTimeout as sleep } from "node:timers/promises";
import type { BudgetSource } from "./budget-source.js";
import { decodeRecord } from "./codec.js";
import { AdaptiveGrantSize, type GrantSizePolicy } from "./grant-size-policy.js";
import type { HeadRecord } from "./head-record.js";
import { LedgerKeys } from "./ledger-keys.js";
import { Ledger } from "./ledger.js";
import { StreamLookup, type StreamState } from "./stream-lookup.js";

/** A lookup whose findings a test sets. */
export class MapLookup extends StreamLookup {
    readonly findings = new Map<string, StreamState>();

    override find(intent: Intent): Promise<StreamState> {
        return Promise.resolve(this.findings.get(intent.id) ?? { state: "unknown" });
    }
}

/** Options of {@link startLedger}. */
export interface LedgerFixtureOptions {
    readonly kv: Pick<EtcdStandIn, "url">;
    readonly network: MemoryNetwork;
    readonly instance: string;
    readonly zone?: string;
    readonly budgets?: BudgetSource;
    readonly policy?: GrantSizePolicy;
    readonly lookup?: StreamLookup;
    readonly sealDelayMs?: number;
    readonly kvDeadlineMs?: number;
    /** Resolves once the instance knows its peers; resolved by default. */
    readonly peersKnown?: Promise<void>;
    readonly drawTimeoutMs?: number;
    readonly billWindowS?: number;
    /** Wraps the ledger's client of the key-value service. */
    readonly wrapKv?: (kv: KvClient) => KvClient;
    readonly flushIntervalMs?: number;
    readonly getGathererIncarnation?: (budget: string) => string | undefined;
    /** Registers a function that ends the instance after the test. */
    readonly teardown: (end: () => Promise<void>) => void;
}

/** One instance's ledger with its dependencies. */
export interface LedgerFixture {
    readonly ledger: Ledger;
    readonly hub: MemoryHub;
    readonly kv: EtcdKvClient;
    readonly counters: Counters;
}

/** Long, so that a busy machine does not look like an outage. */
const KV_DEADLINE_MS = 10_000;
const PREFIX = "/test";
const SHARDS = 1;

/** Starts the ledger of one instance and waits for its registration. */
export const startLedger = async (opts: LedgerFixtureOptions): Promise<LedgerFixture> => {
    const counters = new Counters();
    const kv = new EtcdKvClient({
        endpoints: [opts.kv.url],
        deadlineMs: opts.kvDeadlineMs ?? KV_DEADLINE_MS,
        counters,
    });
    const hub = opts.network.createHub(opts.instance, opts.zone ?? opts.instance);
    const ledger = new Ledger({
        kv: opts.wrapKv?.(kv) ?? kv,
        hub,
        prefix: PREFIX,
        shards: SHARDS,
        budgets: opts.budgets ?? (() => ({ prepaid: 1_000, revision: 1 })),
        chooseCopyHolder,
        lookup: opts.lookup ?? new MapLookup(),
        ...(opts.drawTimeoutMs === undefined ? {} : { drawTimeoutMs: opts.drawTimeoutMs }),
        ...(opts.billWindowS === undefined ? {} : { billWindowS: opts.billWindowS }),
        ...(opts.getGathererIncarnation === undefined ? {} : { getGathererIncarnation: opts.getGathererIncarnation }),
        policy: opts.policy ?? new AdaptiveGrantSize(),
        counters,
        log: createLog("ledger"),
        flushIntervalMs: opts.flushIntervalMs ?? 20,
        sealDelayMs: opts.sealDelayMs ?? 250,
    });
    opts.teardown(async () => {
        await ledger.stop();
        await kv.close();
    });
    ledger.start(hub.self().incarnation, opts.peersKnown);
    await waitFor(() => ledger.getDump().registered);
    return { ledger, hub, kv, counters };
};

/** Waits until a condition holds; only the test's timeout bounds the wait. */
export const waitFor = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
    while (!await condition()) {
        await sleep(5);
    }
};

/** Reads the head of the only shard from the key-value service. */
export const readHead = async (kv: EtcdKvClient): Promise<HeadRecord | undefined> => {
    const entry = await kv.get(new LedgerKeys(PREFIX, SHARDS).head(0));
    return entry === undefined ? undefined : decodeRecord<HeadRecord>(entry.value);
};

/** Creates an intent with defaults. */
export const createIntent = (id: string, requestKey = id): Omit<Intent, "budget" | "reserved"> => ({
    id,
    streamId: id,
    team: "team",
    requestKey,
    offering: "offering",
    target: "target",
    targetUrl: "http://127.0.0.1:1",
    idempotent: true,
    targetKind: "engine",
    fingerprint: "",
});
