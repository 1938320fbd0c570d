/** One change of the prefix cache, as engines publish it. */
export interface CacheEvent {
    readonly seq: number;
    readonly kind: "stored" | "evicted";
    readonly prefixHash: string;
    /** Milliseconds since the epoch. */
    readonly at: number;
}

/** Options of the prefix cache. */
export interface PrefixCacheOptions {
    readonly capacity: number;
    readonly lagMs: number;
    /** Every n-th event is never told; 0 for none. */
    readonly gap: number;
}

const MAX_EVENTS = 1000;

/** Least recently used prefixes of prompts, with a late and gappy list of its changes. */
export class PrefixCache {
    private readonly hashes = new Set<string>();
    private events: readonly CacheEvent[] = [];
    private lastSeq = 0;
    private hitCount = 0;

    constructor(private readonly opts: PrefixCacheOptions) {}

    /** Lookups that found their prefix. */
    get hits(): number {
        return this.hitCount;
    }

    /** Looks a prefix up and stores it; true where it was there. */
    touch(prefixHash: string): boolean {
        const hit = this.hashes.delete(prefixHash);
        this.hashes.add(prefixHash);
        if (hit) {
            this.hitCount += 1;
        }
        else {
            this.append("stored", prefixHash);
            this.evict();
        }
        return hit;
    }

    /** Events after a sequence number that are old enough to be told. */
    getEventsAfter(seq: number): readonly CacheEvent[] {
        const newest = Date.now() - this.opts.lagMs;
        return this.events.filter(event => event.seq > seq && event.at <= newest);
    }

    private evict(): void {
        for (const oldest of this.hashes) {
            if (this.hashes.size <= this.opts.capacity) {
                return;
            }
            this.hashes.delete(oldest);
            this.append("evicted", oldest);
        }
    }

    private append(kind: CacheEvent["kind"], prefixHash: string): void {
        this.lastSeq += 1;
        const told = this.opts.gap === 0 || this.lastSeq % this.opts.gap !== 0;
        if (told) {
            const event: CacheEvent = { seq: this.lastSeq, kind, prefixHash, at: Date.now() };
            this.events = [...this.events.slice(1 - MAX_EVENTS), event];
        }
    }
}
