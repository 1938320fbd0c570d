import type { Target } from "@ospreyreel/config";
import type { Counters } from "@ospreyreel/telemetry";
import { randomUUID } from "node:crypto";
import { setTimeout } from "node:timers/promises";
import type { TargetClient } from "../client/target-client.js";
import type { TargetPool } from "./target-pool.js";
import type { LoadReport } from "./target-state.js";

/** Options of {@link LoadPoller}. */
export interface LoadPollerOptions {
    readonly pool: TargetPool;
    readonly client: TargetClient;
    readonly counters: Counters;
    /** Pause between two rounds, and the timeout of a response, in milliseconds. */
    readonly pollMs?: number;
}

interface LoadBody extends LoadReport {
    readonly leaving?: boolean;
}

interface CacheEventsBody {
    readonly events: readonly {
        readonly seq: number;
        readonly kind: "stored" | "evicted";
        readonly prefixHash: string;
    }[];
}

const DEFAULT_POLL_MS = 500;

/** Polls each engine for its load and its cache events. */
export class LoadPoller {
    private readonly lastSeqs = new Map<string, number>();
    private readonly stopping = new AbortController();
    private readonly pollMs: number;

    constructor(private readonly opts: LoadPollerOptions) {
        this.pollMs = opts.pollMs ?? DEFAULT_POLL_MS;
    }

    /** Polls until it is closed. */
    async run(): Promise<void> {
        const { signal } = this.stopping;
        while (!signal.aborted) {
            await this.pollOnce();
            await setTimeout(this.pollMs, undefined, { signal }).catch(() => undefined);
        }
    }

    /** Polls every engine once; engines that do not respond are counted. */
    async pollOnce(): Promise<void> {
        const engines = this.opts.pool.getTargets().filter(target => target.kind === "engine");
        await Promise.all(engines.map(engine => this.poll(engine)));
    }

    /** Stops polling. */
    close(): void {
        this.stopping.abort();
    }

    private async poll(target: Target): Promise<void> {
        try {
            await this.pollLoad(target);
            await this.pollCacheEvents(target);
        }
        catch {
            // A restarted engine numbers its events from 1 again.
            this.lastSeqs.delete(target.name);
            this.opts.counters.add("target_load_polls_failed");
        }
    }

    private async pollLoad(target: Target): Promise<void> {
        const load = await this.get(target, "/v1/load") as LoadBody;
        if (load.leaving === true) {
            this.opts.pool.markLeaving([target.name]);
        }
        this.opts.pool.setLoadReport(target.name, load);
    }

    private async pollCacheEvents(target: Target): Promise<void> {
        const lastSeq = this.lastSeqs.get(target.name) ?? 0;
        const { events } = await this.get(target, `/v1/cache-events?after=${lastSeq}`) as CacheEventsBody;
        for (const { seq, kind, prefixHash } of events) {
            this.opts.pool.recordCacheEvent(target.name, kind, prefixHash);
            this.lastSeqs.set(target.name, seq);
        }
    }

    private async get(target: Target, path: string): Promise<unknown> {
        const res = await this.opts.client.call({
            target,
            path,
            streamId: randomUUID(),
            headersTimeoutMs: this.pollMs,
            bodyTimeoutMs: this.pollMs,
        });
        return JSON.parse(res.body.toString("utf8"));
    }
}
