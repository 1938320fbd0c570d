import type { PeerHub } from "@ospreyreel/peer";
import { periodic } from "most";
import type { InstanceListPoller } from "./instance-list-poller.js";

/** Options of {@link awaitListedPeers}. */
export interface AwaitListedPeersOptions {
    readonly list: Pick<InstanceListPoller, "current" | "wasRead">;
    readonly hub: Pick<PeerHub, "peers" | "self">;
    /** Maximum wait in milliseconds; a listed instance that is still missing by then counts as lost. */
    readonly timeoutMs: number;
    readonly signal: AbortSignal;
}

const POLL_MS = 20;

const areAllPeersKnown = ({ list, hub }: AwaitListedPeersOptions): boolean => {
    const known = new Set([hub.self(), ...hub.peers()].map(info => info.instance));
    return list.wasRead && list.current().instances.every(({ instance }) => known.has(instance));
};

/**
 * Resolves once all listed instances are known as peers, after the timeout, or when the signal aborts. Before that an
 * instance can't know whether another one already runs a request key, and would find no copy holder.
 */
export const awaitListedPeers = async (opts: AwaitListedPeersOptions): Promise<void> => {
    const deadlineMs = performance.now() + opts.timeoutMs;
    const isDone = (): boolean => opts.signal.aborted || areAllPeersKnown(opts) || performance.now() >= deadlineMs;
    await periodic(POLL_MS).takeWhile(() => !isDone()).drain();
};
