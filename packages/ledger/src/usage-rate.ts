const HALF_LIFE_S = 20;
const MIN_AGE_S = 1;
const MS_PER_S = 1_000;

/** Tokens a second with exponential decay. */
export class UsageRate {
    private weight = 0;
    private firstMs: number | undefined;
    private lastMs: number | undefined;

    /** Adds tokens used at a time, in milliseconds. */
    add(tokens: number, nowMs: number): void {
        this.decay(nowMs);
        this.firstMs ??= nowMs;
        this.weight += tokens;
    }

    /** Returns the rate at a time, in tokens a second. */
    getRate(nowMs: number): number {
        this.decay(nowMs);
        const ageS = Math.max(MIN_AGE_S, (nowMs - (this.firstMs ?? nowMs)) / MS_PER_S);
        // At first the use covers only part of the window; without this correction the first grants would be too small.
        const covered = 1 - 0.5 ** (ageS / HALF_LIFE_S);
        return (this.weight * Math.LN2) / HALF_LIFE_S / covered;
    }

    private decay(nowMs: number): void {
        const elapsedS = Math.max(0, nowMs - (this.lastMs ?? nowMs)) / MS_PER_S;
        this.weight *= 0.5 ** (elapsedS / HALF_LIFE_S);
        this.lastMs = nowMs;
    }
}
