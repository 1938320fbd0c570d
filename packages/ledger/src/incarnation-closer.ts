import { hasResult } from "@ospreyreel/errors";
import type { KvClient } from "@ospreyreel/kv";
import type { Counters, Log } from "@ospreyreel/telemetry";
import { decodeRecord } from "./codec.js";
import type { CopyStore, HeldCopy } from "./copy-store.js";
import { getUnsettled, withClosed } from "./head-math.js";
import type { HeadRecord } from "./head-record.js";
import { ClosingGuard } from "./incarnation-guard.js";
import type { LedgerKeys } from "./ledger-keys.js";
import { getNewBills } from "./new-bills.js";
import type { ShardStore } from "./shard-store.js";
import type { ShardChange, ShardView } from "./shard-view.js";

/** Options of {@link IncarnationCloser}. */
export interface IncarnationCloserOptions {
    readonly kv: KvClient;
    readonly keys: LedgerKeys;
    readonly copies: CopyStore;
    readonly getStore: (shard: number) => ShardStore;
    readonly counters: Counters;
    readonly log: Log;
    /** Clock for the time of sealing only, in milliseconds. */
    readonly now?: () => number;
}

/** Outcome of an attempt to close an incarnation. */
export type CloseResult = "closed" | "not_mine" | "later";

/** Closes incarnations whose copy this instance holds: seals the copy, then returns the provably unspent tokens. */
export class IncarnationCloser {
    constructor(private readonly opts: IncarnationCloserOptions) {}

    /** Seals and closes. `later` means that the key-value service was unavailable and the call has to be repeated. */
    async close(holder: string, closer: string): Promise<CloseResult> {
        const { copies, counters, log } = this.opts;
        // Sealed first: the holder gets no further acknowledgement, so the copy contains all it may have dispatched.
        const copy = copies.seal(holder);
        if (copy === undefined) {
            return "not_mine";
        }
        try {
            const guard = new ClosingGuard({ kv: this.opts.kv, keys: this.opts.keys, incarnation: holder });
            if (!await guard.begin(closer)) {
                copies.drop(holder);
                counters.add("closes_not_mine");
                return "not_mine";
            }
            for (const shard of await this.findShards(holder)) {
                await this.opts.getStore(shard).commit(view => this.getChange(view, shard, copy, closer), [guard]);
            }
            await guard.remove();
        }
        catch (err) {
            if (hasResult(err, "incarnationClosed")) {
                copies.drop(holder);
                return "not_mine";
            }
            counters.add("close_retries");
            return "later";
        }
        log.info({ holder, intents: copy.intents.length }, "incarnation closed");
        counters.add("incarnations_closed");
        copies.drop(holder);
        return "closed";
    }

    private async findShards(holder: string): Promise<readonly number[]> {
        const { kv, keys } = this.opts;
        const heads = await kv.range(keys.heads);
        return heads
            .filter(entry => holder in decodeRecord<HeadRecord>(entry.value).open)
            .map(entry => Number(entry.key.slice(keys.heads.length)));
    }

    private getChange(view: ShardView, shard: number, copy: HeldCopy, closer: string): ShardChange {
        const { keys } = this.opts;
        if (!(copy.holder in view.head.open)) {
            return { head: undefined, entries: [] };
        }
        const finishes = copy.finishes
            .filter(finish => keys.shardOf(finish.budget) === shard)
            .toSorted((a, b) => a.finishSeq - b.finishSeq);
        const intents = copy.intents.filter(intent => keys.shardOf(intent.budget) === shard);
        const entries = getNewBills(view, getUnsettled(view.head, copy.holder, finishes));
        const sealedAtMs = (this.opts.now ?? Date.now)();
        return { head: withClosed(view.head, copy.holder, { finishes, intents, closer, sealedAtMs }), entries };
    }
}
