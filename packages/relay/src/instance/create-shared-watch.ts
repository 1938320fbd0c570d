import { type KvClient, type KvHealth, type PolledKvClient, watchByPolling } from "@ospreyreel/kv";
import type { PeerHub } from "@ospreyreel/peer";
import { isDeepStrictEqual } from "node:util";
import type { RelayLog } from "../relay-log.js";
import type { TargetCodec } from "../targets/target-codec.js";
import type { IsIrrelevantUpdate } from "../watch/change-log.js";
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

/** A heartbeat of a target writes its entry again without a change of the decoded target. */
const isHeartbeat = (codec: TargetCodec): IsIrrelevantUpdate => (before, after) => {
    const id = codec.getTargetId(after.key);
    return id !== undefined && isDeepStrictEqual(codec.decode(id, before.value), codec.decode(id, after.value));
};

/** Watches the KV service, in a large fleet through a few instances; also serves other instances' requests. */
export const createSharedWatch = (
    { kv, health, hub, targets, freshness, log, getPauseMs }: SharedWatchOptions,
): KvClient["watch"] => {
    const reader = new SharedChangeReader({
        own: kv.changes,
        hub,
        sources: new WatchSources({ hub }),
        health,
        freshness,
        log,
        isIrrelevantUpdate: isHeartbeat(targets),
        getPauseMs,
    });
    reader.serve();
    return prefix => watchByPolling({ reader, prefix });
};
