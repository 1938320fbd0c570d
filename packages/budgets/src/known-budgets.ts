import type { CopyHorizon } from "./copy-horizon.js";

/**
 * Time after a restore of the KV service in which operators write their last changes again, in milliseconds. What appears later
 * was not used before the restore.
 */
export const REWRITTEN_WITHIN_MS = 10_000;

/** The budgets of all desired states so far, and the earliest eras in which they can have been used. */
export class KnownBudgets {
    /** By name; undefined where this instance cannot tell. */
    private readonly firstEras = new Map<string, number | undefined>();
    /** The latest era that this instance has seen for long enough to know all budgets of earlier ones. */
    private settledEra: number | undefined;
    private era: number | undefined;
    /** Monotonic time at which that era became known, in milliseconds. */
    private knownAtMs = 0;

    constructor(private readonly horizon: Pick<CopyHorizon, "era" | "eraKnownAtMs">) {}

    /** Adds the budgets of a desired state; returns those that were not known. */
    add(names: readonly string[]): readonly string[] {
        this.followEra();
        const { era, eraKnownAtMs } = this.horizon;
        const isSettled = this.firstEras.size > 0 && performance.now() - eraKnownAtMs >= REWRITTEN_WITHIN_MS;
        const added = names.filter(name => !this.firstEras.has(name));
        added.forEach(name => this.firstEras.set(name, isSettled ? era : this.settledEra));
        return added;
    }

    /** The budgets of all desired states so far. */
    get names(): readonly string[] {
        return [...this.firstEras.keys()];
    }

    /** Returns the earliest era in which a budget can have been used; undefined where this instance cannot tell. */
    getFirstEra(name: string): number | undefined {
        return this.firstEras.get(name);
    }

    /** Takes note of the present era; to be called at each restore. */
    followEra(): void {
        const { era, eraKnownAtMs } = this.horizon;
        if (this.era === era) {
            return;
        }
        if (this.firstEras.size > 0 && eraKnownAtMs - this.knownAtMs >= REWRITTEN_WITHIN_MS) {
            this.settledEra = this.era;
        }
        this.era = era;
        this.knownAtMs = eraKnownAtMs;
    }
}
