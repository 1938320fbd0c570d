import { NameScores, type PeerHub } from "@ospreyreel/peer";
import type { InstanceInfo } from "@ospreyreel/types";

/** Options of {@link ResponsibleInstances}. */
export interface ResponsibleInstancesOptions {
    readonly hub: Pick<PeerHub, "peers" | "self">;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
}

/** Number of instances that are responsible for one key; the second one is for when the first is lost. */
const RESPONSIBLE_COUNT = 2;

/** Time for which the list of instances is cached, in milliseconds. */
const LIST_TTL_MS = 1_000;

/** Chooses the instances that are responsible for a key, by rendezvous over the live instances. */
export class ResponsibleInstances {
    private instances: readonly InstanceInfo[] = [];
    private scores = new NameScores([]);
    private listedAtMs = Number.NEGATIVE_INFINITY;

    constructor(private readonly opts: ResponsibleInstancesOptions) {}

    /** Number of live instances, this one included. */
    get count(): number {
        this.updateList();
        return this.instances.length;
    }

    /** The instances that are responsible for a key, the preferred one first; two by default. */
    choose(key: string, count = RESPONSIBLE_COUNT): readonly InstanceInfo[] {
        this.updateList();
        const scores = this.scores.getScores(key);
        return this.instances.map((info, index) => ({ info, score: scores[index] ?? 0 }))
            .toSorted((a, b) => b.score - a.score)
            .slice(0, count)
            .map(({ info }) => info);
    }

    /** Whether this instance is the preferred one for a key. */
    isFirst(key: string): boolean {
        return this.choose(key)[0]?.instance === this.opts.hub.self().instance;
    }

    private updateList(): void {
        const { hub, nowMs } = this.opts;
        if (nowMs() - this.listedAtMs < LIST_TTL_MS) {
            return;
        }
        this.listedAtMs = nowMs();
        const live = [hub.self(), ...hub.peers()].filter(info => info.state === "live");
        this.instances = live.length > 0 ? live : [hub.self()];
        this.scores = new NameScores(this.instances.map(info => info.instance));
    }
}
