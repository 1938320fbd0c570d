import { orderBySize, type PeerHub, rendezvousOrder } from "@ospreyreel/peer";
import type { InstanceInfo } from "@ospreyreel/types";

/** What the choice of sources depends on. */
export interface WatchSourcesOptions {
    readonly hub: Pick<PeerHub, "peers" | "self">;
    /** Monotonic time in milliseconds; the process's by default. */
    readonly nowMs?: () => number;
}

/** Largest fleet in which each instance reads the KV service itself; as large as the fullest mesh of links. */
const ALL_READ_UP_TO = 16;

/** Fewest instances that read for the others; the loss of one then moves a third of them. */
const MIN_SOURCES = 3;

/** Time for which a choice is kept, in milliseconds; members come and go more slowly, and a choice hashes all of them. */
const CHOICE_KEPT_MS = 1_000;

/** Time in which a source that did not answer is not asked again, in milliseconds; membership notices its loss in less. */
const SILENT_FOR_MS = 2_000;

/** Half the square root of the fleet: 5 at 90 instances, 18 at 1,200, each with as many askers as it has links. */
const getSourceCount = (instances: number): number => Math.max(MIN_SOURCES, Math.ceil(Math.sqrt(instances) / 2));

/** The instances that read changes of the KV service for the others of a large fleet. */
export class WatchSources {
    private readonly silentUntilMs = new Map<string, number>();
    private readonly nowMs: () => number;
    private chosen: readonly InstanceInfo[] = [];
    private chosenAtMs = Number.NEGATIVE_INFINITY;

    constructor(private readonly opts: WatchSourcesOptions) {
        this.nowMs = opts.nowMs ?? (() => performance.now());
    }

    /** Whether few instances read for all; in a small fleet each reads for itself. */
    get isShared(): boolean {
        return this.opts.hub.peers().length >= ALL_READ_UP_TO;
    }

    /** Incarnation to ask for changes, of the same availability zone if there is one; undefined where none is to be asked. */
    choose(): string | undefined {
        const { hub } = this.opts;
        const { incarnation, instance, availabilityZone } = hub.self();
        const sources = this.isShared ? this.list() : [];
        if (sources.some(source => source.incarnation === incarnation)) {
            return undefined;
        }
        const usable = sources.filter(source => !this.isSilent(source.incarnation));
        const near = usable.filter(source => source.availabilityZone === availabilityZone);
        return rendezvousOrder(instance, near.length > 0 ? near : usable, source => source.instance)[0]?.incarnation;
    }

    /** Notes that a source did not answer. */
    noteSilent(incarnation: string): void {
        this.silentUntilMs.set(incarnation, this.nowMs() + SILENT_FOR_MS);
    }

    private isSilent(incarnation: string): boolean {
        const untilMs = this.silentUntilMs.get(incarnation) ?? 0;
        if (untilMs <= this.nowMs()) {
            this.silentUntilMs.delete(incarnation);
            return false;
        }
        return true;
    }

    private list(): readonly InstanceInfo[] {
        if (this.nowMs() - this.chosenAtMs >= CHOICE_KEPT_MS) {
            const { hub } = this.opts;
            const live = [hub.self(), ...hub.peers()].filter(info => info.state === "live");
            this.chosen = orderBySize("watches", live).slice(0, getSourceCount(live.length));
            this.chosenAtMs = this.nowMs();
        }
        return this.chosen;
    }
}
