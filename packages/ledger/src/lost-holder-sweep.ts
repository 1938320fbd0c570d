/** Decides when a missing holder is to be closed, by counting sweeps rather than by a clock. */
export class LostHolderSweep {
    private readonly missed = new Map<string, number>();

    /** `sweeps`: number of consecutive sweeps in which a holder must be missing. */
    constructor(private readonly sweeps: number) {}

    /**
     * Runs one sweep and returns the holders that were missing in enough sweeps. A paused process counts no sweeps, so
     * it does not consider its peers lost when it resumes.
     */
    getLost(holders: readonly string[], present: ReadonlySet<string>): readonly string[] {
        const missing = holders.filter(holder => !present.has(holder));
        for (const holder of [...this.missed.keys()]) {
            if (!missing.includes(holder)) {
                this.missed.delete(holder);
            }
        }
        missing.forEach(holder => this.missed.set(holder, (this.missed.get(holder) ?? 0) + 1));
        return missing.filter(holder => (this.missed.get(holder) ?? 0) >= this.sweeps);
    }
}
