import { setImmediate, setTimeout } from "node:timers/promises";
import type { EngineFaults, EngineOptions } from "./engine-options.js";
import type { EngineStream } from "./engine-stream.js";
import { getPrefixHash } from "./expected-answer.js";
import type { LoadHistory } from "./load-history.js";
import type { PrefixCache } from "./prefix-cache.js";

/** What the scheduler works with. */
export interface BatchSchedulerOptions {
    readonly engine: Required<EngineOptions>;
    readonly faults: EngineFaults;
    readonly load: LoadHistory;
    readonly cache: PrefixCache;
}

/** Continuous batching: a bounded batch, and a queue by priority and then by arrival. */
export class BatchScheduler {
    private queue: EngineStream[] = [];
    private readonly running = new Set<EngineStream>();
    private readonly stopping = new AbortController();

    constructor(private readonly opts: BatchSchedulerOptions) {}

    /** Queues a run, or starts it if the batch has room. */
    submit(stream: EngineStream): void {
        const later = this.queue.findIndex(other => other.req.priority > stream.req.priority);
        this.queue.splice(later === -1 ? this.queue.length : later, 0, stream);
        this.fill();
    }

    /** Ends a run and frees its place. */
    cancel(stream: EngineStream): void {
        stream.cancel();
        this.running.delete(stream);
        this.queue = this.queue.filter(other => other !== stream);
        this.fill();
    }

    /** Stops all runs where they are. */
    close(): void {
        this.queue = [];
        this.stopping.abort();
    }

    private fill(): void {
        while (this.running.size < this.opts.engine.capacity && this.queue.length > 0) {
            const stream = this.queue.shift() as EngineStream;
            this.running.add(stream);
            stream.start();
            void this.run(stream);
        }
        this.opts.load.add(this.running.size, this.queue.length);
    }

    private async run(stream: EngineStream): Promise<void> {
        try {
            await this.sleep(this.getFirstTokenMs(stream));
            let dueAt = performance.now();
            while (!stream.ended) {
                stream.produce();
                dueAt += this.getTokenMs();
                await this.sleep(dueAt - performance.now());
            }
        }
        catch {
            // The engine is closing; the run stays where it is.
        }
        if (this.running.delete(stream)) {
            this.fill();
        }
    }

    private getFirstTokenMs(stream: EngineStream): number {
        const { firstTokenMs, prefixSaving } = this.opts.engine;
        const hit = this.opts.cache.touch(getPrefixHash(stream.req.prompt));
        return firstTokenMs * (hit ? 1 - prefixSaving : 1) + this.opts.faults.stallMs;
    }

    private getTokenMs(): number {
        const { tokenMs, slowing, capacity } = this.opts.engine;
        return tokenMs * (1 + slowing * (this.running.size - 1) / capacity);
    }

    private async sleep(ms: number): Promise<void> {
        const opts = { signal: this.stopping.signal };
        // Timers cannot wait for less than a millisecond; what is due already is produced at once.
        await (ms < 1 ? setImmediate(undefined, opts) : setTimeout(ms, undefined, opts));
    }
}
