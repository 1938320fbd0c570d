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
    /** Use that can be noted while the KV service is away; lost where owner and witnesses die. In seconds. */
    readonly extensionS?: number;
    /** Most of the rest that can be noted, as a share; bounds what the loss of all instances strands. */
    readonly extensionShare?: number;
}

/** Writes come once in about this time; the KV service takes some hundred a second from the whole fleet. */
const DEFAULT_WINDOW_S = 1.2;

/** The longest outages of the KV service that the users' days hold last nine seconds. */
const DEFAULT_EXTENSION_S = 12;

const DEFAULT_EXTENSION_SHARE = 0.4;

/** Part of a window that may be used before the next one is written. */
const WIDEN_AT_SHARE = 0.5;

/** Decides how far the bounds in the KV service and at witnesses are ahead of the use. */
export class WindowPolicy {
    private readonly cfg: Required<WindowPolicyOptions>;

    constructor(opts: WindowPolicyOptions = {}) {
        this.cfg = {
            windowS: opts.windowS ?? DEFAULT_WINDOW_S,
            extensionS: opts.extensionS ?? DEFAULT_EXTENSION_S,
            extensionShare: opts.extensionShare ?? DEFAULT_EXTENSION_SHARE,
        };
    }

    /** Bounds to write now. A window never shrinks, since the use may already be up to it. */
    getBounds({ prepaid, spent, ratePerS, usualRatePerS, window, noted }: BudgetNumbers): BudgetBounds {
        const ahead = spent + Math.ceil(ratePerS * this.cfg.windowS);
        const nextWindow = Math.max(window, noted, Math.min(prepaid, ahead));
        const rest = Math.max(0, prepaid - nextWindow);
        const extension = Math.min(usualRatePerS * this.cfg.extensionS, rest * this.cfg.extensionShare);
        return { window: nextWindow, limit: nextWindow + Math.ceil(extension) };
    }

    /** Total use to note at the witnesses so that `spent` is covered, or undefined where the limit does not allow it. */
    getNote(numbers: BudgetNumbers, limit: number): number | undefined {
        const ahead = numbers.spent + Math.ceil(numbers.ratePerS * this.cfg.windowS);
        const upTo = Math.min(limit, ahead);
        return upTo >= numbers.spent ? upTo : undefined;
    }

    /** Whether the next bounds are due though the present ones still suffice. */
    isWideningDue({ prepaid, spent, ratePerS, window, noted }: BudgetNumbers): boolean {
        const usable = Math.max(window, noted);
        return usable < prepaid && usable - spent < ratePerS * this.cfg.windowS * WIDEN_AT_SHARE;
    }
}
