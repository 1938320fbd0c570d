/** Time over which the rate is averaged, in milliseconds; some seconds, so that a hot team is seen soon. */
const AVERAGED_MS = 2_000;

const MS_PER_S = 1_000;

/** Rate of use, as an exponentially weighted mean. */
export class UsageMeter {
    private perS = 0;
    private lastMs: number;

    constructor(private readonly now: () => number = () => performance.now()) {
        this.lastMs = now();
    }

    /** Tokens a second. */
    get ratePerS(): number {
        this.decay();
        return this.perS;
    }

    /** Notes use. */
    note(tokens: number): void {
        this.decay();
        this.perS += tokens * MS_PER_S / AVERAGED_MS;
    }

    private decay(): void {
        const nowMs = this.now();
        this.perS *= Math.exp(-(nowMs - this.lastMs) / AVERAGED_MS);
        this.lastMs = nowMs;
    }
}
