import type { RandomSource } from "./random-source.js";
import { getLoadShare, TargetChoicePolicy, type TargetLoad } from "./target-choice-policy.js";

/** Options of {@link AffinityChoice}; loads are shares of a target's capacity. */
export interface AffinityChoiceOptions {
    /** Number of random targets to compare; all by default. */
    readonly choices?: number;
    /** Weight of other instances' load, which is reported with a delay, against own requests in flight; 0 to 1. */
    readonly othersWeight?: number;
    /** How much more load than the least loaded of the compared targets one with the prefix may have. */
    readonly slack?: number;
    /** Load, including other instances', above which affinity does not choose a target. */
    readonly hotShare?: number;
}

const DEFAULT_SLACK = 0.25;
const DEFAULT_HOT_SHARE = 1.25;

/** Chooses the least loaded of some random targets, or one with the prefix that has little more load and is not hot. */
export class AffinityChoice extends TargetChoicePolicy {
    private readonly cfg: Required<AffinityChoiceOptions>;

    constructor(private readonly random: RandomSource, opts: AffinityChoiceOptions = {}) {
        super();
        this.cfg = {
            choices: opts.choices ?? Number.POSITIVE_INFINITY,
            othersWeight: opts.othersWeight ?? 0,
            slack: opts.slack ?? DEFAULT_SLACK,
            hotShare: opts.hotShare ?? DEFAULT_HOT_SHARE,
        };
    }

    override choose(candidates: readonly TargetLoad[]): number {
        const shares = candidates.map(target => getLoadShare(target, this.cfg.othersWeight));
        const share = (i: number): number => shares[i] as number;
        const best = this.chooseLeastLoaded(share, candidates.length);
        const limit = share(best) + this.cfg.slack;
        const withPrefix = [...candidates.keys()].filter(i => share(i) <= limit && this.hasAffinity(candidates[i]));
        return withPrefix.reduce<number | undefined>(
            (lowest, i) => lowest === undefined || share(i) < share(lowest) ? i : lowest,
            undefined,
        ) ?? best;
    }

    private hasAffinity(target: TargetLoad | undefined): boolean {
        return target?.hasPrefix === true && getLoadShare(target) <= this.cfg.hotShare;
    }

    /** Chooses the least loaded of distinct random targets; a tie goes to the one drawn first. */
    private chooseLeastLoaded(share: (i: number) => number, count: number): number {
        const remaining = [...Array(count).keys()];
        let best = this.draw(remaining);
        for (let drawn = 1; drawn < Math.min(this.cfg.choices, count); drawn += 1) {
            const next = this.draw(remaining);
            best = share(next) < share(best) ? next : best;
        }
        return best;
    }

    private draw(remaining: number[]): number {
        return remaining.splice(this.random.nextIndex(remaining.length), 1)[0] as number;
    }
}
