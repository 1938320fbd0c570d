import { LedgerKeys } from "./ledger-keys.js";
import type { LedgerOptions } from "./ledger-options.js";
import { ShardStore } from "./shard-store.js";

const DEFAULT_SHARDS = 16;
const DEFAULT_BILL_WINDOW_S = 900;

/** One instance's stores of all shards; each is created on first use. */
export class ShardStores {
    readonly keys: LedgerKeys;
    /** How long request keys are retained, in seconds. */
    readonly billWindowS: number;
    private readonly stores = new Map<number, ShardStore>();

    constructor(private readonly opts: Pick<LedgerOptions, "kv" | "counters" | "prefix" | "shards" | "billWindowS">) {
        this.keys = new LedgerKeys(opts.prefix, opts.shards ?? DEFAULT_SHARDS);
        this.billWindowS = opts.billWindowS ?? DEFAULT_BILL_WINDOW_S;
    }

    /** The store of a shard. */
    get(shard: number): ShardStore {
        const { billWindowS, opts: { kv, counters } } = this;
        const store = this.stores.get(shard) ?? new ShardStore({ kv, counters, shard, keys: this.keys, billWindowS });
        this.stores.set(shard, store);
        return store;
    }

    /** The store of a budget's shard. */
    getOf(budget: string): ShardStore {
        return this.get(this.keys.shardOf(budget));
    }

    /** All stores created so far. */
    list(): readonly ShardStore[] {
        return [...this.stores.values()];
    }
}
