import type { TargetState } from "./target-state.js";

/** Options of {@link WarmPreference}. */
export interface WarmPreferenceOptions {
    /** Whether a target is cold and takes only some requests a second. */
    readonly isCold: (state: TargetState) => boolean;
    /** Returns a random number in [0, 1); `Math.random` by default. */
    readonly random?: () => number;
}

/** Share of the slots that have to be at warm targets for these to be enough. */
const ENOUGH_SHARE = 0.5;

/** Share of the requests that may go to cold targets although the warm ones are enough, so that these get warm by use. */
const WARMING_SHARE = 0.25;

/** Prefers warm targets where they are enough; otherwise cold ones are used as far as their limits allow. */
export class WarmPreference {
    private readonly random: () => number;

    constructor(private readonly opts: WarmPreferenceOptions) {
        this.random = opts.random ?? Math.random;
    }

    /** Returns the candidates to choose from; those that are cold are left out for most requests where the others are enough. */
    filter<T extends { readonly state: TargetState; }>(candidates: readonly T[]): readonly T[] {
        const warm = candidates.filter(({ state }) => !this.opts.isCold(state));
        if (warm.length === 0 || warm.length === candidates.length) {
            return candidates;
        }
        const isEnough = countSlots(warm) >= ENOUGH_SHARE * countSlots(candidates);
        return isEnough && this.random() >= WARMING_SHARE ? warm : candidates;
    }
}

const countSlots = (candidates: readonly { readonly state: TargetState; }[]): number =>
    candidates.reduce((sum, { state }) => sum + state.target.slots, 0);
