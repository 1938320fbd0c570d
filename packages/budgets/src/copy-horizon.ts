import type { KvHistory } from "@ospreyreel/kv";

/** Options of {@link CopyHorizon}. */
export interface CopyHorizonOptions {
    readonly history: KvHistory;
    /** Age of the oldest copy from which the KV service may come back, in milliseconds. */
    readonly maxCopyAgeMs: number;
}

/** Tells what is in each copy from which the KV service may come back. */
export class CopyHorizon {
    constructor(private readonly opts: CopyHorizonOptions) {}

    /** Age of the oldest copy, in milliseconds. */
    get maxCopyAgeMs(): number {
        return this.opts.maxCopyAgeMs;
    }

    /** Present era of the KV service's data. */
    get era(): number {
        return this.opts.history.era;
    }

    /** Monotonic time at which the present era became known here, in milliseconds. */
    get eraKnownAtMs(): number {
        return this.opts.history.knownAtMs;
    }

    /**
     * Whether each copy contains what was stored in the present era by a monotonic time in milliseconds. The service was in that
     * era when it received a call that was sent a copy's age later, so that it comes back from no copy that is older.
     */
    contains(storedAtMs: number): boolean {
        const { history, maxCopyAgeMs } = this.opts;
        return history.confirmedAtMs >= storedAtMs + maxCopyAgeMs;
    }

    /** Time until each copy contains what was stored by a monotonic time, both in milliseconds; a call has to confirm it then. */
    getWaitMs(storedAtMs: number): number {
        return Math.max(0, storedAtMs + this.opts.maxCopyAgeMs - performance.now());
    }
}
