/** Time constant of the current rate, in milliseconds; a few seconds, so that a sudden load of a team shows soon. */
const CURRENT_AVERAGE_MS = 2_000;

/** Time constant of the usual rate, in milliseconds; longer, since small teams pause for seconds. */
const USUAL_AVERAGE_MS = 8_000;

const MS_PER_S = 1_000;

/** Rate of use, as exponentially weighted means over a short and a longer time. */
export class UsageMeter {
    private currentPerS = 0;
    private usualPerS = 0;
    private lastMs: number;

    constructor(private readonly now: () => number = () => performance.now()) {
        this.lastMs = now();
    }

    /** Tokens a second now. */
    get ratePerS(): number {
        this.decay();
        return this.currentPerS;
    }

    /** Tokens a second over a longer time, or now if that is more. */
    get usualRatePerS(): number {
        this.decay();
        return Math.max(this.currentPerS, this.usualPerS);
    }

    /** Adds used tokens. */
    add(tokens: number): void {
        this.decay();
        this.currentPerS += tokens * MS_PER_S / CURRENT_AVERAGE_MS;
        this.usualPerS += tokens * MS_PER_S / USUAL_AVERAGE_MS;
    }

    private decay(): void {
        const nowMs = this.now();
        const elapsedMs = nowMs - this.lastMs;
        this.currentPerS *= Math.exp(-elapsedMs / CURRENT_AVERAGE_MS);
        this.usualPerS *= Math.exp(-elapsedMs / USUAL_AVERAGE_MS);
        this.lastMs = nowMs;
    }
}
