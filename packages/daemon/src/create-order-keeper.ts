import type { ConfigStore, Settings } from "@ospreyreel/config";
import type { KvClient } from "@ospreyreel/kv";
import { HttpOrderSender, LoadSpacer, OrderKeeper, OrderLease, type TargetClient } from "@ospreyreel/targets";
import type { Counters } from "@ospreyreel/telemetry";

/** Dependencies of {@link createOrderKeeper}. */
export interface CreateOrderKeeperOptions {
    readonly kv: KvClient;
    readonly config: ConfigStore;
    readonly client: TargetClient;
    readonly counters: Counters;
    /** Incarnation that acquires the lease. */
    readonly incarnation: string;
}

/** An {@link OrderKeeper}, which sends orders to engines, and its lease. */
export interface CreatedOrderKeeper {
    readonly keeper: OrderKeeper;
    readonly lease: OrderLease;
}

/** Creates the {@link OrderKeeper} and its lease from the settings. */
export const createOrderKeeper = (cfg: Settings, opts: CreateOrderKeeperOptions): CreatedOrderKeeper => {
    const { kv, config, client, counters, incarnation } = opts;
    const { loadsPerS, loadBurst, leaseTtlS, marginMs, maxOrderDelayMs } = cfg.orders;
    const lease = new OrderLease({ kv, prefix: cfg.kv.prefix, holder: incarnation, ttlS: leaseTtlS });
    const keeper = new OrderKeeper({
        lease,
        sender: new HttpOrderSender(client),
        spacer: new LoadSpacer({ loadsPerS, burst: loadBurst }),
        counters,
        getDocument: () => config.current(),
        marginMs,
        maxOrderDelayMs,
    });
    return { keeper, lease };
};
