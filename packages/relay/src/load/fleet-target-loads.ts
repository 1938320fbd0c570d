import type { Target } from "../targets/target.js";
import type { LoadTable } from "./load-table.js";
import type { OwnSends } from "./own-sends.js";
import { type TargetLoad, TargetLoads } from "./target-loads.js";

/** Options of {@link FleetTargetLoads}. */
export interface FleetTargetLoadsOptions {
    readonly table: LoadTable;
    readonly sends: OwnSends;
    /** Interval at which targets are read now, in milliseconds. */
    readonly getIntervalMs: () => number;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
}

/** Age from which a report counts no more, in milliseconds. */
const MAX_AGE_MS = 3_000;

/** Number of intervals for which a report has its full weight. */
const FULL_WEIGHT_INTERVALS = 2;

/** Latest age up to which a report may have its full weight, in milliseconds, however long the interval is. */
const MAX_FULL_WEIGHT_MS = 2_500;

/** Longest time for which a load is expected to grow on as it did, in milliseconds. */
const MAX_GROWTH_MS = 1_000;

/** Time for which a target without reports counts as full after a rejection, in milliseconds. */
const FULL_MS = 500;

/**
 * Estimates the load of targets by their last reports, this instance's own sends since, and the mean growth between reports as what the other
 * instances may have sent. A target without reports is known only to be full, for a short time after it has rejected a request.
 */
export class FleetTargetLoads extends TargetLoads {
    constructor(private readonly opts: FleetTargetLoadsOptions) {
        super();
    }

    override get(target: Target): TargetLoad | undefined {
        const { table, sends, nowMs } = this.opts;
        const known = table.get(target);
        const ageMs = known === undefined ? Number.POSITIVE_INFINITY : nowMs() - known.atMs;
        const weight = this.getWeight(ageMs);
        if (known === undefined || weight === 0) {
            return this.getRejected(target);
        }
        const own = sends.getChangeSince(target, known.atMs);
        const growthMs = Math.min(ageMs, MAX_GROWTH_MS);
        const others = Math.max(0, known.requestsPerMs) * growthMs;
        const otherTokens = Math.max(0, known.tokensPerMs) * growthMs;
        const total = Math.max(0, known.running + known.queued + own.requests + others);
        // Requests that wait although slots are free wait for memory.
        const running = Math.min(total, known.queued > 0 ? known.running : Math.max(known.running, target.slots));
        return {
            running,
            queued: total - running,
            usedTokens: Math.max(0, known.usedTokens + own.tokens + otherTokens),
            capacityTokens: known.capacityTokens,
            ageMs,
            weight,
        };
    }

    private getWeight(ageMs: number): number {
        const fullMs = Math.min(MAX_FULL_WEIGHT_MS, FULL_WEIGHT_INTERVALS * this.opts.getIntervalMs());
        return Math.min(1, Math.max(0, (MAX_AGE_MS - ageMs) / (MAX_AGE_MS - fullMs)));
    }

    private getRejected(target: Target): TargetLoad | undefined {
        const ageMs = this.opts.nowMs() - this.opts.sends.getFullAtMs(target);
        return ageMs >= FULL_MS ? undefined : {
            running: target.slots,
            queued: 0,
            usedTokens: 0,
            capacityTokens: 0,
            ageMs,
            weight: 1 - ageMs / FULL_MS,
            isOwnEstimate: true,
        };
    }
}
