/** Figures that a grant's size depends on; tokens, tokens a second, seconds. */
export interface GrantSizeInput {
    /** Tokens that waiting requests lack. */
    readonly needed: number;
    /** Tokens that no incarnation holds. */
    readonly free: number;
    readonly prepaid: number;
    /** Recent use of the budget at this instance. */
    readonly ratePerS: number;
    /** Incarnations that hold part of the budget, with this one. */
    readonly holders: number;
    /** Whether the remainder of the budget is gathered at this instance near its end. */
    readonly isGatherer: boolean;
}

/** Decides how many tokens one draw takes. */
export abstract class GrantSizePolicy {
    /** Tokens to draw, at most `free`; less than `needed` only where `free` is. */
    abstract getGrantSize(input: GrantSizeInput): number;
}

/** Options of {@link AdaptiveGrantSize}. */
export interface AdaptiveGrantSizeOptions {
    /** Use that one grant should cover, in seconds. */
    readonly horizonS?: number;
    /** Largest share of a budget that one draw may hold beyond what is needed. */
    readonly maxShare?: number;
}

const DEFAULT_HORIZON_S = 900;
const DEFAULT_MAX_SHARE = 0.001;
/** A draw takes, beyond the needed tokens, at most the holder's even share of the free ones divided by this. */
const FREE_DIVISOR = 2;

/** Large grants while much of a budget remains, to survive an outage; small ones near its end, to strand little. */
export class AdaptiveGrantSize extends GrantSizePolicy {
    private readonly horizonS: number;
    private readonly maxShare: number;

    constructor(opts: AdaptiveGrantSizeOptions = {}) {
        super();
        this.horizonS = opts.horizonS ?? DEFAULT_HORIZON_S;
        this.maxShare = opts.maxShare ?? DEFAULT_MAX_SHARE;
    }

    override getGrantSize(input: GrantSizeInput): number {
        const byShare = input.prepaid * this.maxShare;
        if (input.free <= byShare) {
            // Near the end, tokens held at one instance serve more requests than the same tokens spread over several.
            return Math.max(0, input.isGatherer ? input.free : Math.min(input.free, input.needed));
        }
        const forOutage = input.ratePerS * this.horizonS;
        const byFree = (input.free - input.needed) / (FREE_DIVISOR * Math.max(1, input.holders));
        const spare = Math.max(0, Math.floor(Math.min(forOutage, byShare, byFree)));
        return Math.max(0, Math.min(input.free, input.needed + spare));
    }
}

/** Draws exactly what is needed; the baseline of one compare-and-swap for each request. */
export class ExactGrantSize extends GrantSizePolicy {
    override getGrantSize(input: GrantSizeInput): number {
        return Math.max(0, Math.min(input.free, input.needed));
    }
}

/** Options of {@link EvenSplitGrantSize}. */
export interface EvenSplitGrantSizeOptions {
    /** Instances over which each budget is split. */
    readonly instances: number;
}

/** Draws an even share of the free tokens among the instances without a grant; the baseline of a static split. */
export class EvenSplitGrantSize extends GrantSizePolicy {
    constructor(private readonly opts: EvenSplitGrantSizeOptions) {
        super();
    }

    override getGrantSize(input: GrantSizeInput): number {
        const withoutShare = Math.max(1, this.opts.instances - input.holders + 1);
        return Math.max(0, Math.min(input.free, Math.floor(input.free / withoutShare)));
    }
}
