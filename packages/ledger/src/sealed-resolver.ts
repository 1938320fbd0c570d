import type { Counters } from "@ospreyreel/telemetry";
import type { Bill, Intent } from "@ospreyreel/types";
import { withResolved, withSealingTime, withUnproved } from "./head-math.js";
import type { SealedRecord } from "./head-record.js";
import { getJournalKey, type JournalEntry } from "./journal-entry.js";
import type { ShardStore } from "./shard-store.js";
import type { ShardChange, ShardView } from "./shard-view.js";
import type { StreamLookup, StreamState } from "./stream-lookup.js";

/** Options of {@link SealedResolver}. */
export interface SealedResolverOptions {
    readonly lookup: StreamLookup;
    readonly counters: Counters;
    /** Whether this instance resolves a sealed intent. */
    readonly shouldResolve: (record: SealedRecord) => boolean;
    /** How long the record of a request key is retained, in seconds. */
    readonly billWindowS: number;
    readonly now?: () => number;
}

const MS_PER_S = 1_000;

/**
 * Replaces sealed intents with the tokens that their targets served, once the targets' own records have ended. An
 * intent that stays unproved is abandoned once its request key is forgotten, so that a shard's record stays bounded.
 */
export class SealedResolver {
    private running = false;
    /** When engines last reported that a sealed stream runs, by intent id; in milliseconds. */
    private readonly reportedRunningAtMs = new Map<string, number>();

    constructor(private readonly opts: SealedResolverOptions) {}

    /** Runs one pass over all shards; does nothing while an earlier one runs. */
    async resolveAll(stores: readonly ShardStore[]): Promise<void> {
        if (this.running) {
            return;
        }
        this.running = true;
        try {
            for (const store of stores) {
                await this.resolveShard(store);
            }
            this.dropResolvedReports(stores);
        }
        finally {
            this.running = false;
        }
    }

    /** Tries to resolve all sealed intents of a shard; those that cannot be proved count in full. */
    async resolveShard(store: ShardStore): Promise<void> {
        const sealed = Object.values(store.getView()?.head.sealed ?? {}).filter(this.opts.shouldResolve);
        const unproved: SealedRecord[] = [];
        for (const record of sealed) {
            const { intent } = record;
            const finding = await this.opts.lookup.find(intent);
            if (finding.state === "ended") {
                await store.commit(view => this.getChange(view, intent, finding));
                this.opts.counters.add("sealed_resolved");
            }
            else if (finding.state === "running") {
                this.reportedRunningAtMs.set(intent.id, this.now());
            }
            else {
                unproved.push(record);
            }
        }
        await this.abandonExpired(store, unproved);
    }

    /** Abandons intents whose window has passed, and sets the sealing time of those without one. */
    private async abandonExpired(store: ShardStore, unproved: readonly SealedRecord[]): Promise<void> {
        const nowMs = this.now();
        const expired = unproved.filter(record => this.isExpired(record, nowMs)).map(record => record.intent.id);
        const untimed = unproved.filter(record => record.sealedAtMs === undefined).map(record => record.intent.id);
        if (expired.length === 0 && untimed.length === 0) {
            return;
        }
        await store.commit(({ head }) => {
            const timed = untimed.reduce((next, id) => withSealingTime(next, id, nowMs), head);
            const next = expired.reduce(withUnproved, timed);
            return { head: next === head ? undefined : next, entries: [] };
        });
        this.opts.counters.add("sealed_unproved", expired.length);
    }

    /** Whether the window has passed since the sealing and since the engine last reported that the stream runs. */
    private isExpired({ intent, sealedAtMs }: SealedRecord, nowMs: number): boolean {
        const sinceMs = Math.max(sealedAtMs ?? nowMs, this.reportedRunningAtMs.get(intent.id) ?? 0);
        return nowMs - sinceMs >= this.opts.billWindowS * MS_PER_S;
    }

    /** Removes report times of intents that other instances have resolved. */
    private dropResolvedReports(stores: readonly ShardStore[]): void {
        const views = stores.map(store => store.getView());
        // While a shard's last write has an unknown outcome, its sealed intents are unknown.
        if (views.includes(undefined)) {
            return;
        }
        const sealed = new Set(views.flatMap(view => Object.keys(view?.head.sealed ?? {})));
        [...this.reportedRunningAtMs.keys()].filter(id => !sealed.has(id)).forEach(id =>
            this.reportedRunningAtMs.delete(id)
        );
    }

    private now(): number {
        return (this.opts.now ?? Date.now)();
    }

    private getChange(
        view: ShardView,
        intent: Intent,
        finding: StreamState & { readonly state: "ended"; },
    ): ShardChange {
        if (!(intent.id in view.head.sealed)) {
            return { head: undefined, entries: [] };
        }
        const bill = this.getBill(intent, finding);
        const billed = view.bills.has(getJournalKey(bill.team, bill.requestKey));
        const entries: readonly JournalEntry[] = billed ? [] : [{ kind: "bill", bill }];
        const tokens = finding.promptTokens + finding.completionTokens;
        return { head: withResolved(view.head, intent.id, tokens), entries };
    }

    private getBill(intent: Intent, finding: StreamState & { readonly state: "ended"; }): Bill {
        const { target, targetUrl, streamId, fingerprint } = intent;
        return {
            stream: { target, targetUrl, streamId, fingerprint },
            requestKey: intent.requestKey,
            team: intent.team,
            budget: intent.budget,
            offering: intent.offering,
            promptTokens: finding.promptTokens,
            completionTokens: finding.completionTokens,
            incarnation: "resolved",
            finishedAtMs: this.now(),
        };
    }
}
