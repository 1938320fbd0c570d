import { NameScores, type PeerHub } from "@ospreyreel/peer";
import type { InstanceInfo } from "@ospreyreel/types";

/** Options of {@link PartCollectors}. */
export interface PartCollectorsOptions {
    readonly hub: Pick<PeerHub, "peers" | "self">;
    readonly nowMs: () => number;
}

/** Number of instances that collect the accusations of one part; the second one is for when the first is lost. */
const COLLECTOR_COUNT = 2;

/** Time for which the list of instances is cached, in milliseconds. */
const LIST_TTL_MS = 1_000;

/** Chooses the instances that collect the accusations of a part, by rendezvous over the live instances. */
export class PartCollectors {
    private instances: readonly InstanceInfo[] = [];
    private scores = new NameScores([]);
    private listedAtMs = Number.NEGATIVE_INFINITY;

    constructor(private readonly opts: PartCollectorsOptions) {}

    /** The collectors of a part, the preferred one first. */
    choose(part: string): readonly InstanceInfo[] {
        this.updateList();
        const scores = this.scores.getScores(part);
        return this.instances.map((info, index) => ({ info, score: scores[index] ?? 0 }))
            .toSorted((a, b) => b.score - a.score)
            .slice(0, COLLECTOR_COUNT)
            .map(({ info }) => info);
    }

    /** Whether this instance is the preferred collector of a part. */
    isFirst(part: string): boolean {
        return this.choose(part)[0]?.instance === this.opts.hub.self().instance;
    }

    private updateList(): void {
        const { hub, nowMs } = this.opts;
        if (nowMs() - this.listedAtMs < LIST_TTL_MS) {
            return;
        }
        this.listedAtMs = nowMs();
        const others = hub.peers().filter(info => info.state === "live");
        this.instances = [hub.self(), ...others];
        this.scores = new NameScores(this.instances.map(info => info.instance));
    }
}
