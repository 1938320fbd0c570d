import { type KvClient, type KvHealth, type PolledKvClient, watchByPolling } from "@ospreyreel/kv";
import type { PeerHub } from "@ospreyreel/peer";
import { isDeepStrictEqual } from "node:util";
import type { RelayLog } from "../relay-log.js";
import type { TargetCodec } from "../targets/target-codec.js";
import type { IsNoise } from "../watch/change-log.js";
import { SharedChangeReader } from "../watch/shared-change-reader.js";
import { WatchSources } from "../watch/watch-sources.js";

/** What a shared watch needs. */
export interface SharedWatchOptions {
    readonly kv: PolledKvClient;
    readonly health: KvHealth;
    readonly hub: PeerHub;
    readonly targets: TargetCodec;
    readonly log: RelayLog;
    /** Time to wait after reads that brought changes where each instance reads for itself, in milliseconds. */
    readonly getPauseMs: () => number;
}

/** A heartbeat of a target changes its entry and nothing that is known of it. */
const isHeartbeat = (codec: TargetCodec): IsNoise => (before, after) => {
    const id = codec.getTargetId(after.key);
    return id !== undefined && isDeepStrictEqual(codec.decode(id, before.value), codec.decode(id, after.value));
};

/** Follows changes of the KV service, in a large fleet by way of a few instances; answers those that ask this one. */
export const createSharedWatch = (
    { kv, health, hub, targets, log, getPauseMs }: SharedWatchOptions,
): KvClient["watch"] => {
    const reader = new SharedChangeReader({
        own: kv.changes,
        hub,
        sources: new WatchSources({ hub }),
        health,
        log,
        isNoise: isHeartbeat(targets),
        getPauseMs,
    });
    reader.serve();
    return prefix => watchByPolling({ reader, prefix });
};
