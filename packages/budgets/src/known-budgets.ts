import type { CopyHorizon } from "./copy-horizon.js";

/**
 * Time after a restore of the KV service in which operators write their last changes again, in milliseconds. What appears later
 * was not used before the restore.
 */
const REWRITTEN_WITHIN_MS = 10_000;

/** The budgets of all desired states so far, and which of them cannot have been used before the last restore. */
export class KnownBudgets {
    private readonly names = new Set<string>();
    private readonly fresh = new Set<string>();
    private era: number | undefined;

    constructor(private readonly horizon: CopyHorizon) {}

    /** Adds the budgets of a desired state; returns those that were not known. */
    add(names: readonly string[]): readonly string[] {
        const isFirst = this.names.size === 0;
        const areNew = !isFirst && performance.now() - this.horizon.eraKnownAtMs >= REWRITTEN_WITHIN_MS;
        this.forgetEarlierEra();
        const added = names.filter(name => !this.names.has(name));
        added.forEach(name => this.names.add(name));
        if (areNew) {
            added.forEach(name => this.fresh.add(name));
        }
        return added;
    }

    /** Whether a budget appeared in the present era, and so late that no restore can have lost its use. */
    isNew(name: string): boolean {
        this.forgetEarlierEra();
        return this.fresh.has(name);
    }

    private forgetEarlierEra(): void {
        if (this.era !== this.horizon.era) {
            this.era = this.horizon.era;
            this.fresh.clear();
        }
    }
}
