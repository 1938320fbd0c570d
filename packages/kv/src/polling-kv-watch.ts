import { Stream } from "most";
import { setTimeout as sleep } from "node:timers/promises";
import type { KvChangeReader } from "./kv-change-reader.js";
import type { KvEvent } from "./kv-event.js";
import { KvWatchSource } from "./kv-watch-source.js";

/** What a watch follows. */
export interface PollingKvWatchOptions {
    readonly reader: KvChangeReader;
    readonly prefix: string;
    /** Ends the watch when the client closes; without it the watch lasts as long as the process. */
    readonly closed?: AbortSignal;
}

/**
 * Time for which one call waits for changes, in milliseconds. A call that was sent while the service was silent hangs for
 * as long and its deadline (0.6 s); the platform allows three seconds from the end of an outage.
 */
const WAIT_MS = 2_000;

/** Pauses after a call that failed, in milliseconds; the longest leaves the service four calls in its usual outage of a second. */
const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 400;

const NEVER = new AbortController().signal;

/** Follows the changes under a prefix by a reader's calls. */
export const watchByPolling = (opts: PollingKvWatchOptions): Stream<KvEvent> => new Stream(new PollingKvWatch(opts));

/** Source of the changes under a prefix, by calls that wait for changes after a revision. */
export class PollingKvWatch extends KvWatchSource {
    constructor(private readonly opts: PollingKvWatchOptions) {
        super();
    }

    protected override get closed(): AbortSignal {
        return this.opts.closed ?? NEVER;
    }

    protected override async follow(emit: (event: KvEvent) => void, signal: AbortSignal): Promise<void> {
        let at: number | undefined;
        let pauseMs = FIRST_PAUSE_MS;
        while (!signal.aborted) {
            try {
                at = at === undefined ? await this.resync(emit) : await this.readChanges(at, emit);
                pauseMs = FIRST_PAUSE_MS;
            }
            catch {
                // Whoever follows the health of the service logs that it was lost.
                await sleep(pauseMs * (0.5 + Math.random() / 2));
                pauseMs = Math.min(2 * pauseMs, LONGEST_PAUSE_MS);
            }
        }
    }

    private async resync(emit: (event: KvEvent) => void): Promise<number> {
        const { reader, prefix } = this.opts;
        const { entries, at } = await reader.readAll(prefix);
        emit({ kind: "resync", entries });
        return at;
    }

    /** Waits for changes; undefined where the prefix must be read anew. */
    private async readChanges(after: number, emit: (event: KvEvent) => void): Promise<number | undefined> {
        const { reader, prefix } = this.opts;
        const batch = await reader.readChanges(prefix, after, WAIT_MS);
        batch?.changes.forEach(emit);
        return batch?.at;
    }
}
