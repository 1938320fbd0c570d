import type { Counters } from "@ospreyreel/telemetry";
import type { InstanceList } from "@ospreyreel/types";
import { periodic, type Stream } from "most";
import { request } from "undici";

/** Options of {@link InstanceListPoller}. */
export interface InstanceListPollerOptions {
    readonly url: string;
    readonly pollMs: number;
    readonly counters: Counters;
}

const MIN_TIMEOUT_MS = 1_000;

/** Polls the platform's list of instances and targets. */
export class InstanceListPoller {
    private last: InstanceList = { instances: [], targets: [] };
    private isRead = false;

    constructor(private readonly opts: InstanceListPollerOptions) {}

    /** Returns the list as last read; empty before the first read. */
    current(): InstanceList {
        return this.last;
    }

    /** Whether the list has been read at least once. */
    get wasRead(): boolean {
        return this.isRead;
    }

    /** Emits the list after each read; a failed read is counted and skipped. */
    watch(): Stream<InstanceList> {
        const reads = periodic(this.opts.pollMs).startWith(undefined).map(() => this.fetch());
        return reads.await().filter(list => list !== undefined);
    }

    private async fetch(): Promise<InstanceList | undefined> {
        const { url, counters, pollMs } = this.opts;
        try {
            const signal = AbortSignal.timeout(Math.max(MIN_TIMEOUT_MS, pollMs));
            const res = await request(url, { signal });
            const list = await res.body.json() as InstanceList;
            if (res.statusCode !== 200 || !Array.isArray(list.instances) || !Array.isArray(list.targets)) {
                throw new TypeError(`the instance list is invalid (HTTP status ${res.statusCode})`);
            }
            this.last = list;
            this.isRead = true;
            return list;
        }
        catch {
            counters.add("instance_list_errors");
            return undefined;
        }
    }
}
