import type { KvClient } from "@ospreyreel/kv";
import type { BudgetLog } from "./budget-log.js";
import { getShard } from "./budget-shards.js";
import type { CopyHorizon } from "./copy-horizon.js";
import { type FirstEra, USUAL_FIRST_ERA } from "./first-era.js";
import { REWRITTEN_WITHIN_MS } from "./known-budgets.js";
import { getShardKey, SHARD_KEY_PREFIX } from "./shard-record.js";

/** Options of {@link EraSettler}. */
export interface EraSettlerOptions {
    readonly kv: Pick<KvClient, "range">;
    readonly horizon: Pick<CopyHorizon, "era" | "eraKnownAtMs" | "contains">;
    readonly firstEra: Pick<FirstEra, "get" | "raise">;
    /** Budgets of all desired states so far. */
    readonly getBudgets: () => readonly string[];
    /** Whether this instance is the one that does it for the fleet. */
    readonly isResponsible: () => boolean;
    /** Claims those of the shards that no live instance owns; does not throw. */
    readonly claim: (shards: readonly number[]) => Promise<void>;
    readonly log: BudgetLog;
}

/** Time between two checks, in milliseconds; longer than the age of the oldest copy, so that few find a record too young. */
const CHECK_INTERVAL_MS = 10_000;

/** Records that are held in memory at a time; a page of the platform's. */
const RECORDS_PER_READ = 500;

/**
 * Raises the first era after a restore; one instance does it for the fleet. Once each budget's shard has a record in each copy of the KV
 * service, a shard without a record can only have been used in the present era.
 */
export class EraSettler {
    /** Era in which this instance has found or raised the first era. */
    private settledEra: number | undefined;
    /** Era and monotonic time, in milliseconds, by which all shards had records. */
    private recorded: { readonly era: number; readonly atMs: number; } | undefined;
    private isChecking = false;

    constructor(private readonly opts: EraSettlerOptions) {}

    /** Starts checking after each restore. */
    start(): void {
        setInterval(() => void this.checkOnce(), CHECK_INTERVAL_MS).unref();
    }

    /** Does what is due. Throws if the KV service is unavailable. */
    async check(): Promise<void> {
        const { horizon, firstEra, getBudgets, isResponsible, claim, log } = this.opts;
        const { era, eraKnownAtMs } = horizon;
        // Operators may not have written all budgets again yet.
        const isSoon = performance.now() - eraKnownAtMs < REWRITTEN_WITHIN_MS;
        if (era <= USUAL_FIRST_ERA || this.settledEra === era || isSoon || !isResponsible()) {
            return;
        }
        if (await firstEra.get(era) >= era) {
            this.settledEra = era;
            return;
        }
        if (this.recorded?.era !== era) {
            const budgets = getBudgets();
            if (budgets.length === 0) {
                return;
            }
            const missing = await this.findUnrecorded(budgets);
            if (missing.length > 0) {
                await claim(missing);
                return;
            }
            this.recorded = { era, atMs: performance.now() };
        }
        if (!horizon.contains(this.recorded.atMs)) {
            return;
        }
        await firstEra.raise(era);
        this.settledEra = era;
        log("era settled", { era });
    }

    private async checkOnce(): Promise<void> {
        if (this.isChecking) {
            return;
        }
        this.isChecking = true;
        try {
            await this.check();
        }
        catch (err) {
            this.opts.log("era not settled", { cause: String(err) });
        }
        this.isChecking = false;
    }

    /** Shards of budgets that have no record. */
    private async findUnrecorded(budgets: readonly string[]): Promise<readonly number[]> {
        const { kv } = this.opts;
        const keys = new Set<string>();
        let after: string | undefined;
        do {
            const page = await kv.range(SHARD_KEY_PREFIX, {
                limit: RECORDS_PER_READ,
                ...(after === undefined ? {} : { after }),
            });
            page.forEach(({ key }) => keys.add(key));
            after = page.length < RECORDS_PER_READ ? undefined : page.at(-1)?.key;
        }
        while (after !== undefined);
        return [...new Set(budgets.map(getShard))].filter(shard => !keys.has(getShardKey(shard)));
    }
}
