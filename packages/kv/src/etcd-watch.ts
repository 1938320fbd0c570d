import type { Counters } from "@ospreyreel/telemetry";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";
import type { EtcdGateway } from "./etcd-gateway.js";
import { type GatewayWatchMessage, keyFromBase64, prefixEnd, toBase64, toKvEntry } from "./etcd-messages.js";
import type { KvEvent } from "./kv-event.js";
import { KvWatchSource } from "./kv-watch-source.js";

/** Options of {@link EtcdWatch}. */
export interface EtcdWatchOptions {
    readonly gateway: EtcdGateway;
    readonly counters: Counters;
    readonly prefix: string;
    /** Time without a message after which the watch is reopened, since a dead connection looks the same. */
    readonly idleTimeoutMs: number;
    /** Ends the watch when the client closes. */
    readonly closed: AbortSignal;
}

const MIN_RECONNECT_DELAY_MS = 50;
const MAX_RECONNECT_DELAY_MS = 2000;

/** Source of the changes under a prefix over the etcd gateway; each run is one watch. */
export class EtcdWatch extends KvWatchSource {
    private readonly opts: EtcdWatchOptions;

    constructor(opts: EtcdWatchOptions) {
        super();
        this.opts = opts;
    }

    protected override get closed(): AbortSignal {
        return this.opts.closed;
    }

    protected override async emitChanges(emit: (event: KvEvent) => void, signal: AbortSignal): Promise<void> {
        let delayMs = MIN_RECONNECT_DELAY_MS;
        while (!signal.aborted) {
            let opened = false;
            for await (const message of this.connect(signal)) {
                opened ||= message.result?.created === true;
                toEvents(message).forEach(emit);
            }
            delayMs = opened ? MIN_RECONNECT_DELAY_MS : Math.min(delayMs * 2, MAX_RECONNECT_DELAY_MS);
            // Random jitter, so that the many watches that lose a service together do not reconnect together.
            await sleep(delayMs * (0.5 + Math.random() / 2), undefined, { signal }).catch(() => undefined);
        }
    }

    /** Yields the messages of one connection; ends when it fails, since the next connection begins with a resync. */
    private async *connect(signal: AbortSignal): AsyncGenerator<GatewayWatchMessage> {
        const { gateway, counters, prefix, idleTimeoutMs } = this.opts;
        const connection = new AbortController();
        // Not AbortSignal.any, which would retain an entry for each connection for the lifetime of the watch.
        const abort = (): void => connection.abort();
        signal.addEventListener("abort", abort, { once: true });
        const index = gateway.preferredIndex;
        try {
            counters.add("kv_watches");
            const range = { key: toBase64(prefix), range_end: prefixEnd(prefix) };
            const body = await gateway.openStream("/v3/watch", { create_request: range }, {
                index,
                signal: connection.signal,
                idleTimeoutMs,
            });
            for await (const line of createInterface({ input: body })) {
                const message = JSON.parse(line) as GatewayWatchMessage;
                if (message.error !== undefined || message.result?.canceled === true) {
                    break;
                }
                yield message;
            }
        }
        catch {
            if (!signal.aborted) {
                counters.add("kv_errors");
                gateway.preferNextAfter(index);
            }
        }
        finally {
            signal.removeEventListener("abort", abort);
            connection.abort();
        }
    }
}

const toEvents = (message: GatewayWatchMessage): readonly KvEvent[] => {
    const { created, events } = message.result ?? {};
    const changes = (events ?? []).map((event): KvEvent =>
        event.type === "DELETE"
            ? { kind: "delete", key: keyFromBase64(event.kv.key) }
            : { kind: "put", entry: toKvEntry(event.kv) }
    );
    return created === true ? [{ kind: "resync" }, ...changes] : changes;
};
