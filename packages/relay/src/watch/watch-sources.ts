import { orderByCores, type PeerHub, rendezvousOrder } from "@ospreyreel/peer";
import type { InstanceInfo } from "@ospreyreel/types";

/** Options of {@link WatchSources}. */
export interface WatchSourcesOptions {
    readonly hub: Pick<PeerHub, "peers" | "self">;
    /** Monotonic time in milliseconds; `performance.now` by default. */
    readonly nowMs?: () => number;
}

/** Largest fleet in which each instance reads the KV service directly; also the largest full mesh of peer links. */
const MAX_UNSHARED_FLEET_SIZE = 16;

/** Minimum number of sources; with three, the loss of one moves a third of the other instances. */
const MIN_SOURCES = 3;

/**
 * Time for which the list of sources is cached, in milliseconds. Computing it hashes all members, which change more
 * slowly.
 */
const CHOICE_TTL_MS = 1_000;

/** Time in which an unresponsive source is not queried, in milliseconds; membership detects a lost one in less. */
const UNRESPONSIVE_BACKOFF_MS = 2_000;

/**
 * Half the square root of the fleet's size: 5 at 90 instances, 18 at 1,200; each serves as many peers as it has links.
 */
const getSourceCount = (instances: number): number => Math.max(MIN_SOURCES, Math.ceil(Math.sqrt(instances) / 2));

/** Chooses the instances of a large fleet that read changes of the KV service for the others. */
export class WatchSources {
    private readonly unresponsiveUntilMs = new Map<string, number>();
    private readonly nowMs: () => number;
    private chosen: readonly InstanceInfo[] = [];
    private chosenAtMs = Number.NEGATIVE_INFINITY;

    constructor(private readonly opts: WatchSourcesOptions) {
        this.nowMs = opts.nowMs ?? (() => performance.now());
    }

    /** Whether a few instances read for all; in a small fleet each reads for itself. */
    get isShared(): boolean {
        return this.opts.hub.peers().length >= MAX_UNSHARED_FLEET_SIZE;
    }

    /**
     * Incarnation of the source to query, if possible in the same availability zone; undefined where none is to be
     * queried.
     */
    choose(): string | undefined {
        const { hub } = this.opts;
        const { incarnation, instance, availabilityZone } = hub.self();
        const sources = this.isShared ? this.list() : [];
        if (sources.some(source => source.incarnation === incarnation)) {
            return undefined;
        }
        const usable = sources.filter(source => !this.isUnresponsive(source.incarnation));
        const near = usable.filter(source => source.availabilityZone === availabilityZone);
        return rendezvousOrder(instance, near.length > 0 ? near : usable, source => source.instance)[0]?.incarnation;
    }

    /** Records that a source did not respond. */
    recordUnresponsive(incarnation: string): void {
        this.unresponsiveUntilMs.set(incarnation, this.nowMs() + UNRESPONSIVE_BACKOFF_MS);
    }

    private isUnresponsive(incarnation: string): boolean {
        const untilMs = this.unresponsiveUntilMs.get(incarnation) ?? 0;
        if (untilMs <= this.nowMs()) {
            this.unresponsiveUntilMs.delete(incarnation);
            return false;
        }
        return true;
    }

    private list(): readonly InstanceInfo[] {
        if (this.nowMs() - this.chosenAtMs >= CHOICE_TTL_MS) {
            const { hub } = this.opts;
            const live = [hub.self(), ...hub.peers()].filter(info => info.state === "live");
            this.chosen = orderByCores("watches", live).slice(0, getSourceCount(live.length));
            this.chosenAtMs = this.nowMs();
        }
        return this.chosen;
    }
}
