import type { BudgetBounds } from "./shard-record.js";

/** Numbers of one budget at its owner. */
export interface BudgetNumbers {
    readonly prepaid: number;
    /** Tokens handed out and not returned. */
    readonly spent: number;
    /** Tokens a second now. */
    readonly ratePerS: number;
    /** Tokens a second over a longer time, or now if that is more. */
    readonly usualRatePerS: number;
    /** Window that the KV service certainly holds. */
    readonly window: number;
    /** Highest note that a quorum of witnesses holds; 0 without one. */
    readonly noted: number;
}

/** Options of {@link WindowPolicy}: how far the bounds are ahead of the use. */
export interface WindowPolicyOptions {
    /** Use by which a window is ahead, lost if the owner dies; in seconds at the current rate. */
    readonly windowS?: number;
    /** The same near the end of a budget. */
    readonly scarceWindowS?: number;
    /** Use that can be noted while the KV service is unavailable, lost if owner and witnesses die; in seconds. */
    readonly extensionS?: number;
    /** Largest share of the remainder of a fresh budget that can be noted. */
    readonly extensionShare?: number;
    /** Use by which a ceiling is ahead, lost if the owner dies while the KV service comes back from a copy; in seconds. */
    readonly ceilingS?: number;
}

/** Writes are about this far apart; the KV service accepts some hundred a second from the whole fleet. */
const DEFAULT_WINDOW_S = 1.2;

/** Half of it may be stranded, and 3% of a budget must remain usable up to the last requests. */
const DEFAULT_SCARCE_WINDOW_S = 0.5;

/** The longest expected outages of the KV service last nine seconds. */
const DEFAULT_EXTENSION_S = 12;

const DEFAULT_EXTENSION_SHARE = 0.5;

/** A ceiling counts once it is as old as the oldest copy, and none can be written during the longest expected outage before. */
const DEFAULT_CEILING_S = 22;

/** Share of the remainder by which a ceiling is ahead at least, for a budget that was hardly used before. */
const MIN_CEILING_SHARE = 0.0625;

/** Share of the prepaid tokens that a ceiling may be ahead of the use near the end, so that a top-up can be used at once. */
const MAX_CEILING_SHARE = 0.25;

/** Share of a ceiling's lead that must remain; below it a higher one is written. */
const RAISE_CEILING_AT_SHARE = 0.9;

/** Multiple of a ceiling's lead above which a lower one is written. */
const LOWER_CEILING_AT_FACTOR = 2;

const MS_PER_S = 1_000;

/** Remaining share of a budget below which the bounds follow its use more closely. */
export const SCARCE_SHARE = 0.3;

/**
 * Factor of the share of the remainder that can be noted, which falls with the third power of the remaining share of
 * the budget: half of the remainder while more than 46% of a budget remains, 4% of it at a fifth. The loss of all
 * instances then strands little near the end of a budget, where callers would notice it.
 */
const EXTENSION_STEEPNESS = 5;

/** Share of the remainder that may be noted of a budget whose rate is not known yet, such as a new one. */
const MIN_EXTENSION_SHARE = 0.05;

/** Share of the headroom that must remain; below it the next window is written. */
const WIDEN_AT_SHARE = 0.5;

/** Ceiling of a budget so far. */
export interface PresentCeiling {
    /** The one that was written last. */
    readonly latest: number;
    /** Time for which the use was measured at this owner, in milliseconds. */
    readonly measuredMs: number;
    /** Whether this owner is the budget's first one. */
    readonly isFirstOwner: boolean;
}

/** Computes how far the bounds in the KV service and at witnesses are ahead of the use. */
export class WindowPolicy {
    private readonly cfg: Required<WindowPolicyOptions>;

    constructor(opts: WindowPolicyOptions = {}) {
        this.cfg = {
            windowS: opts.windowS ?? DEFAULT_WINDOW_S,
            scarceWindowS: opts.scarceWindowS ?? DEFAULT_SCARCE_WINDOW_S,
            extensionS: opts.extensionS ?? DEFAULT_EXTENSION_S,
            extensionShare: opts.extensionShare ?? DEFAULT_EXTENSION_SHARE,
            ceilingS: opts.ceilingS ?? DEFAULT_CEILING_S,
        };
    }

    /** Returns the bounds to write now. A window never shrinks, since the use may have reached it. */
    getBounds(numbers: BudgetNumbers): BudgetBounds {
        const { prepaid, spent, usualRatePerS, window, noted } = numbers;
        const nextBound = spent + this.getHeadroom(numbers);
        const nextWindow = Math.max(window, noted, Math.min(prepaid, nextBound));
        const remaining = Math.max(0, prepaid - nextWindow);
        const share = Math.min(this.cfg.extensionShare, EXTENSION_STEEPNESS * (remaining / Math.max(1, prepaid)) ** 3);
        const desired = Math.max(usualRatePerS * this.cfg.extensionS, remaining * MIN_EXTENSION_SHARE);
        const extension = Math.min(desired, remaining * share);
        return { window: nextWindow, limit: nextWindow + Math.ceil(extension) };
    }

    /** Returns the total use to note at the witnesses to cover `spent`; undefined where the limit is below `spent`. */
    getNote(numbers: BudgetNumbers, limit: number): number | undefined {
        const nextBound = numbers.spent + this.getHeadroom(numbers);
        const upTo = Math.min(limit, nextBound);
        return upTo >= numbers.spent ? upTo : undefined;
    }

    /** Whether the next bounds are due although the current ones still suffice. */
    isWideningDue(numbers: BudgetNumbers): boolean {
        const usable = Math.max(numbers.window, numbers.noted);
        return usable < numbers.prepaid && usable - numbers.spent < this.getHeadroom(numbers) * WIDEN_AT_SHARE;
    }

    /**
     * Returns the ceiling to write: the present one, unless it is too near or too far from the use. Until the use of a new budget is known,
     * all of it lies below; a use that was measured for a short time lowers no ceiling.
     */
    getCeiling(
        { prepaid, spent, usualRatePerS }: BudgetNumbers,
        { latest, measuredMs, isFirstOwner }: PresentCeiling,
    ): number {
        const { ceilingS } = this.cfg;
        const isMeasured = measuredMs >= ceilingS * MS_PER_S;
        const remaining = Math.max(0, prepaid - spent);
        const measured = Math.max(usualRatePerS * ceilingS, remaining * MIN_CEILING_SHARE);
        const desired = isFirstOwner && !isMeasured ? remaining : measured;
        const lead = Math.ceil(Math.min(desired, Math.max(remaining, prepaid * MAX_CEILING_SHARE)));
        const isTooNear = latest - spent < lead * RAISE_CEILING_AT_SHARE;
        const isTooFar = isMeasured && latest - spent > lead * LOWER_CEILING_AT_FACTOR;
        return isTooNear || isTooFar ? spent + lead : latest;
    }

    /** Returns the tokens by which the next bound is ahead of the use. */
    private getHeadroom({ prepaid, spent, ratePerS }: BudgetNumbers): number {
        const isScarce = prepaid - spent < prepaid * SCARCE_SHARE;
        return Math.ceil(ratePerS * (isScarce ? this.cfg.scarceWindowS : this.cfg.windowS));
    }
}
