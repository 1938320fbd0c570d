import { type PlacementNumbers, PlacementPolicy } from "./placement-policy.js";

/** Options of {@link AffinityPlacement}. */
export interface AffinityPlacementOptions {
    /** Load of a target relative to the mean of all, up to which it is chosen by affinity; 1.25 by default. */
    readonly loadFactor?: number;
    /** Requests allowed above that bound, so that affinity also holds at low load; 2 by default. */
    readonly slackRequests?: number;
}

/** Bound of consistent hashing with bounded loads; 1.25 keeps most keys at their preferred target. */
const DEFAULT_LOAD_FACTOR = 1.25;
const DEFAULT_SLACK_REQUESTS = 2;

/** Weight of the error share in a target's effective load. */
const ERROR_WEIGHT = 4;

/** A near target is preferred over a far one up to this difference in load, as a share of the slots. */
const NEAR_BONUS = 0.15;

/** Load as the share of slots in use, increased for slow and failing targets. */
const getEffectiveLoad = (target: PlacementNumbers): number =>
    (target.inFlight + 1) / target.slots * Math.max(1, target.slowness) * (1 + ERROR_WEIGHT * target.errorShare);

/**
 * With affinity, chooses the first target in rendezvous order whose load is within a bound of the mean; without
 * affinity, the least loaded target, with a preference for near ones.
 */
export class AffinityPlacement extends PlacementPolicy {
    private readonly loadFactor: number;
    private readonly slackRequests: number;

    constructor(opts: AffinityPlacementOptions = {}) {
        super();
        this.loadFactor = opts.loadFactor ?? DEFAULT_LOAD_FACTOR;
        this.slackRequests = opts.slackRequests ?? DEFAULT_SLACK_REQUESTS;
    }

    override choose(candidates: readonly PlacementNumbers[]): number {
        const byAffinity = candidates.some(target => target.affinity > 0)
            ? this.chooseByAffinity(candidates)
            : undefined;
        return byAffinity ?? this.chooseLeastLoaded(candidates);
    }

    private chooseByAffinity(candidates: readonly PlacementNumbers[]): number | undefined {
        const loads = candidates.map(target => target.inFlight * Math.max(1, target.slowness));
        const mean = loads.reduce((sum, load) => sum + load, 0) / candidates.length;
        const bound = mean * this.loadFactor + this.slackRequests;
        let best: number | undefined;
        candidates.forEach((target, i) => {
            const better = best === undefined || target.affinity > (candidates[best]?.affinity ?? 0);
            if ((loads[i] ?? 0) <= bound && better) {
                best = i;
            }
        });
        return best;
    }

    private chooseLeastLoaded(candidates: readonly PlacementNumbers[]): number {
        const loads = candidates.map(target => getEffectiveLoad(target) - (target.isNear ? NEAR_BONUS : 0));
        return loads.reduce((best, load, i) => load < (loads[best] ?? 0) ? i : best, 0);
    }
}
