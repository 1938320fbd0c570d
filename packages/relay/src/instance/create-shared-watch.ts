import { type KvClient, type KvHealth, type PolledKvClient, watchByPolling } from "@ospreyreel/kv";
import type { PeerHub } from "@ospreyreel/peer";
import type { RelayLog } from "../relay-log.js";
import { EntryHeartbeats } from "../targets/entry-heartbeats.js";
import type { TargetCodec } from "../targets/target-codec.js";
import { SharedChangeReader } from "../watch/shared-change-reader.js";
import type { ViewFreshness } from "../watch/view-freshness.js";
import { WatchSources } from "../watch/watch-sources.js";

/** Options of {@link createSharedWatch}. */
export interface SharedWatchOptions {
    readonly kv: PolledKvClient;
    readonly health: KvHealth;
    readonly hub: PeerHub;
    readonly targets: TargetCodec;
    readonly freshness: ViewFreshness;
    readonly log: RelayLog;
    /** Pause after a read that returned changes where each instance reads for itself, in milliseconds. */
    readonly getPauseMs: () => number;
}

/** Watches the KV service, in a large fleet through a few instances; also serves other instances' requests. */
export const createSharedWatch = (
    { kv, health, hub, targets, freshness, log, getPauseMs }: SharedWatchOptions,
): KvClient["watch"] => {
    const heartbeats = new EntryHeartbeats({ codec: targets });
    const reader = new SharedChangeReader({
        own: kv.changes,
        hub,
        sources: new WatchSources({ hub }),
        health,
        freshness,
        log,
        isIrrelevantUpdate: (before, after) => heartbeats.isHeartbeat(before, after),
        getPauseMs,
    });
    reader.serve();
    return prefix => watchByPolling({ reader, prefix });
};
