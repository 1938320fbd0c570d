import { type OrderedRequest, QueueOrder } from "@ospreyreel/targets";
import type { ServedShares } from "./served-shares.js";

/** Share of its wait after which a less urgent request may move up. */
const AGED_SHARE = 0.5;

/** A priority moves up while it is served less than this, relative to the more urgent priority that is served least. */
const STARVED_RATIO = 0.5;

/** Distance between the ranks of two priorities; greater than any time of the clock in milliseconds. */
const PRIORITY_STEP = 1e12;

/** Starts of more urgent requests after which an aged request may go first; bounds what aging takes from the more urgent ones. */
const STARTS_PER_AGED = 8;

/** Level from which on requests are beyond the shares of their teams; greater than any priority. */
const OVER_SHARE_LEVEL = 1_000;

/** Level of a request beyond its team's share: behind those within their shares, and by priority among its like. */
export const getLevelOverShare = (priority: number): number => OVER_SHARE_LEVEL + priority;

/**
 * Orders waiting requests by priority, callers that have come back before others, then by the time that is left. A request that has
 * waited long goes first now and then, while its priority is served much less often than the more urgent ones; without this condition a
 * less urgent kind with long objectives would be served more often than an urgent one.
 */
export class UrgencyOrder extends QueueOrder {
    private urgentStarts = 0;

    constructor(private readonly shares: ServedShares) {
        super();
    }

    /** Records that a waiting request started. */
    recordStart(priority: number): void {
        this.urgentStarts = this.shares.getSmallestMoreUrgent(priority) === undefined ? this.urgentStarts + 1 : 0;
    }

    /** Whether a priority is served so much less often than more urgent ones that its requests move up. */
    isStarved(priority: number): boolean {
        if (this.urgentStarts < STARTS_PER_AGED) {
            return false;
        }
        const urgent = this.shares.getSmallestMoreUrgent(priority);
        return urgent !== undefined && (this.shares.getShare(priority) ?? 1) < urgent * STARVED_RATIO;
    }

    override getRank(req: OrderedRequest, nowMs: number): number {
        const { priority, deadlineAtMs, waitingSinceMs, isReturned } = req;
        const waitedShare = (nowMs - waitingSinceMs) / Math.max(1, deadlineAtMs - waitingSinceMs);
        const isFirst = priority < OVER_SHARE_LEVEL && waitedShare >= AGED_SHARE && this.isStarved(priority);
        const level = isFirst ? 0 : 2 * priority + (isReturned ? 1 : 2);
        return level * PRIORITY_STEP + deadlineAtMs;
    }
}
