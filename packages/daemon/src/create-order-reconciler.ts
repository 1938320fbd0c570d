import type { ConfigStore, Settings } from "@ospreyreel/config";
import type { KvClient } from "@ospreyreel/kv";
import { HttpOrderSender, LoadRateLimiter, OrderLease, OrderReconciler, type TargetClient } from "@ospreyreel/targets";
import type { Counters } from "@ospreyreel/telemetry";

/** Dependencies of {@link createOrderReconciler}. */
export interface CreateOrderReconcilerOptions {
    readonly kv: KvClient;
    readonly config: ConfigStore;
    readonly client: TargetClient;
    readonly counters: Counters;
    /** Incarnation that acquires the lease. */
    readonly incarnation: string;
}

/** An {@link OrderReconciler}, which sends orders to engines, and its lease. */
export interface CreatedOrderReconciler {
    readonly reconciler: OrderReconciler;
    readonly lease: OrderLease;
}

/** Creates the {@link OrderReconciler} and its lease from the settings. */
export const createOrderReconciler = (cfg: Settings, opts: CreateOrderReconcilerOptions): CreatedOrderReconciler => {
    const { kv, config, client, counters, incarnation } = opts;
    const { loadsPerS, loadBurst, leaseTtlS, marginMs, maxOrderDelayMs } = cfg.orders;
    const lease = new OrderLease({ kv, prefix: cfg.kv.prefix, holder: incarnation, ttlS: leaseTtlS });
    const reconciler = new OrderReconciler({
        lease,
        sender: new HttpOrderSender(client),
        loadRateLimiter: new LoadRateLimiter({ loadsPerS, burst: loadBurst }),
        counters,
        getDocument: () => config.current(),
        marginMs,
        maxOrderDelayMs,
    });
    return { reconciler, lease };
};
