import { Stream } from "most";
import { setTimeout as sleep } from "node:timers/promises";
import type { KvChangeReader } from "./kv-change-reader.js";
import type { KvEvent } from "./kv-event.js";
import { KvWatchSource } from "./kv-watch-source.js";

/** Options of {@link PollingKvWatch}. */
export interface PollingKvWatchOptions {
    readonly reader: KvChangeReader;
    readonly prefix: string;
    /** Ends the watch when the client closes; without it the watch lasts until the process ends. */
    readonly closed?: AbortSignal;
}

/** Time for which one call waits for changes, in milliseconds. */
const CHANGES_WAIT_MS = 2_000;

/**
 * The same after a failed call: while the service does not respond, a call that waits takes so much longer to fail, and a service
 * that came back from an older copy holds it, since it has no such revision yet.
 */
const WAIT_AFTER_FAILURE_MS = 0;

/** Bounds of the delay after a failed call; the maximum leaves four calls in the service's usual outage of a second. */
const MIN_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 400;

const NEVER_ABORTED = new AbortController().signal;

/** Watches the changes under a prefix by polling a reader. */
export const watchByPolling = (opts: PollingKvWatchOptions): Stream<KvEvent> => new Stream(new PollingKvWatch(opts));

/** Source of the changes under a prefix; polls with calls that wait for changes after a revision. */
export class PollingKvWatch extends KvWatchSource {
    constructor(private readonly opts: PollingKvWatchOptions) {
        super();
    }

    protected override get closed(): AbortSignal {
        return this.opts.closed ?? NEVER_ABORTED;
    }

    protected override async emitChanges(emit: (event: KvEvent) => void, signal: AbortSignal): Promise<void> {
        let at: number | undefined;
        let delayMs = MIN_RETRY_DELAY_MS;
        let waitMs = CHANGES_WAIT_MS;
        while (!signal.aborted) {
            try {
                at = at === undefined ? await this.resync(emit) : await this.readChanges(at, waitMs, emit);
                delayMs = MIN_RETRY_DELAY_MS;
                waitMs = CHANGES_WAIT_MS;
            }
            catch {
                // The loss of the service is logged by the listeners of its health.
                waitMs = WAIT_AFTER_FAILURE_MS;
                await sleep(delayMs * (0.5 + Math.random() / 2));
                delayMs = Math.min(2 * delayMs, MAX_RETRY_DELAY_MS);
            }
        }
    }

    private async resync(emit: (event: KvEvent) => void): Promise<number> {
        const { reader, prefix } = this.opts;
        const { entries, at } = await reader.readAll(prefix);
        emit({ kind: "resync", entries });
        return at;
    }

    /** Waits for changes; undefined where the prefix must be read again. */
    private async readChanges(
        after: number,
        waitMs: number,
        emit: (event: KvEvent) => void,
    ): Promise<number | undefined> {
        const { reader, prefix } = this.opts;
        const batch = await reader.readChanges(prefix, after, waitMs);
        batch?.changes.forEach(emit);
        return batch?.at;
    }
}
