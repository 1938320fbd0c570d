import type { BudgetBounds } from "./shard-record.js";

/** Numbers of one budget at its owner. */
export interface BudgetNumbers {
    readonly prepaid: number;
    /** Tokens handed out and not given back. */
    readonly spent: number;
    /** Tokens a second now. */
    readonly ratePerS: number;
    /** Tokens a second over a longer time, or now if that is more. */
    readonly usualRatePerS: number;
    /** Bounds in force or on their way. */
    readonly window: number;
    /** Highest note that all witnesses keep; 0 without one. */
    readonly noted: number;
}

/** How far ahead of the use the bounds are. */
export interface WindowPolicyOptions {
    /** Use that a window is ahead; lost where the owner dies. In seconds at the present rate. */
    readonly windowS?: number;
    /** The same near the end of a budget. */
    readonly scarceWindowS?: number;
    /** Use that can be noted while the KV service is away; lost where owner and witnesses die. In seconds. */
    readonly extensionS?: number;
    /** Most of the rest that can be noted of a fresh budget, as a share. */
    readonly extensionShare?: number;
}

/** Writes come once in about this time; the KV service takes some hundred a second from the whole fleet. */
const DEFAULT_WINDOW_S = 1.2;

/** Half of it may be stranded, and three hundredths of a budget are to be used up to their last requests. */
const DEFAULT_SCARCE_WINDOW_S = 0.5;

/** The longest outages of the KV service that the users' days hold last nine seconds. */
const DEFAULT_EXTENSION_S = 12;

const DEFAULT_EXTENSION_SHARE = 0.5;

/** Share of a budget from which on its rest is tracked more closely. */
export const SCARCE_SHARE = 0.3;

/**
 * Steepness with which the share of the rest that can be noted falls with the third power of what is left: half of it
 * while more than 46% of a budget is left, under 3% of the rest at a fifth. What the loss of all instances strands is
 * then small where callers would notice it, at the end of a budget.
 */
const EXTENSION_STEEPNESS = 5;

/** Share of the rest that may be noted of a budget whose rate is not known yet, such as one just opened. */
const LEAST_EXTENSION_SHARE = 0.05;

/** Part of a window that may be used before the next one is written. */
const WIDEN_AT_SHARE = 0.5;

/** Decides how far the bounds in the KV service and at witnesses are ahead of the use. */
export class WindowPolicy {
    private readonly cfg: Required<WindowPolicyOptions>;

    constructor(opts: WindowPolicyOptions = {}) {
        this.cfg = {
            windowS: opts.windowS ?? DEFAULT_WINDOW_S,
            scarceWindowS: opts.scarceWindowS ?? DEFAULT_SCARCE_WINDOW_S,
            extensionS: opts.extensionS ?? DEFAULT_EXTENSION_S,
            extensionShare: opts.extensionShare ?? DEFAULT_EXTENSION_SHARE,
        };
    }

    /** Bounds to write now. A window never shrinks, since the use may already be up to it. */
    getBounds(numbers: BudgetNumbers): BudgetBounds {
        const { prepaid, spent, usualRatePerS, window, noted } = numbers;
        const ahead = spent + this.getAhead(numbers);
        const nextWindow = Math.max(window, noted, Math.min(prepaid, ahead));
        const rest = Math.max(0, prepaid - nextWindow);
        const share = Math.min(this.cfg.extensionShare, EXTENSION_STEEPNESS * (rest / Math.max(1, prepaid)) ** 3);
        const wanted = Math.max(usualRatePerS * this.cfg.extensionS, rest * LEAST_EXTENSION_SHARE);
        const extension = Math.min(wanted, rest * share);
        return { window: nextWindow, limit: nextWindow + Math.ceil(extension) };
    }

    /** Total use to note at the witnesses so that `spent` is covered, or undefined where the limit does not allow it. */
    getNote(numbers: BudgetNumbers, limit: number): number | undefined {
        const ahead = numbers.spent + this.getAhead(numbers);
        const upTo = Math.min(limit, ahead);
        return upTo >= numbers.spent ? upTo : undefined;
    }

    /** Whether the next bounds are due though the present ones still suffice. */
    isWideningDue(numbers: BudgetNumbers): boolean {
        const usable = Math.max(numbers.window, numbers.noted);
        return usable < numbers.prepaid && usable - numbers.spent < this.getAhead(numbers) * WIDEN_AT_SHARE;
    }

    /** Tokens that the next bound is ahead of the use. */
    private getAhead({ prepaid, spent, ratePerS }: BudgetNumbers): number {
        const isScarce = prepaid - spent < prepaid * SCARCE_SHARE;
        return Math.ceil(ratePerS * (isScarce ? this.cfg.scarceWindowS : this.cfg.windowS));
    }
}
