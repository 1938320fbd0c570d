/** Time over which the present rate is averaged, in milliseconds; some seconds, so that a hot team is seen soon. */
const PRESENT_MS = 2_000;

/** Time over which the usual rate is averaged, in milliseconds; small teams pause for seconds. */
const USUAL_MS = 8_000;

const MS_PER_S = 1_000;

/** Rate of use, as the higher of two exponentially weighted means. */
export class UsageMeter {
    private presentPerS = 0;
    private usualPerS = 0;
    private lastMs: number;

    constructor(private readonly now: () => number = () => performance.now()) {
        this.lastMs = now();
    }

    /** Tokens a second now. */
    get ratePerS(): number {
        this.decay();
        return this.presentPerS;
    }

    /** Tokens a second over a longer time, or now if that is more. */
    get usualRatePerS(): number {
        this.decay();
        return Math.max(this.presentPerS, this.usualPerS);
    }

    /** Notes use. */
    note(tokens: number): void {
        this.decay();
        this.presentPerS += tokens * MS_PER_S / PRESENT_MS;
        this.usualPerS += tokens * MS_PER_S / USUAL_MS;
    }

    private decay(): void {
        const nowMs = this.now();
        const elapsedMs = nowMs - this.lastMs;
        this.presentPerS *= Math.exp(-elapsedMs / PRESENT_MS);
        this.usualPerS *= Math.exp(-elapsedMs / USUAL_MS);
        this.lastMs = nowMs;
    }
}
