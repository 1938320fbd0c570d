/** Number of last second sends that are judged. */
const JUDGED_SENDS = 20;

/** Share of these that have to win; with fewer, five sends of work shorten less than one response. */
const MIN_WIN_SHARE = 0.2;

/** Time for which second sends stay off, in milliseconds; about the time in which the quantile is learned anew. */
const OFF_MS = 120_000;

/** Time after which a result says nothing about the present load, in milliseconds. */
const MAX_RESULT_AGE_MS = 600_000;

/** Turns second sends to one service off for a time where too few of them win. */
export class SecondSendSwitch {
    private results: { readonly hasWon: boolean; readonly atMs: number; }[] = [];
    private offUntilMs = Number.NEGATIVE_INFINITY;

    /** `nowMs` returns a monotonic time in milliseconds. */
    constructor(private readonly nowMs: () => number) {}

    /** Whether second sends are off. */
    get isOff(): boolean {
        return this.nowMs() < this.offUntilMs;
    }

    /** Share of the judged sends that won; undefined before the first one. */
    get winShare(): number | undefined {
        const { results } = this;
        return results.length === 0 ? undefined : results.filter(({ hasWon }) => hasWon).length / results.length;
    }

    /** Records whether the response of a second send was used; returns whether this turns them off. */
    record(hasWon: boolean): boolean {
        const atMs = this.nowMs();
        this.results = [...this.results, { hasWon, atMs }].slice(-JUDGED_SENDS)
            .filter(result => atMs - result.atMs <= MAX_RESULT_AGE_MS);
        if (this.isOff || this.results.length < JUDGED_SENDS || (this.winShare ?? 1) >= MIN_WIN_SHARE) {
            return false;
        }
        this.results = [];
        this.offUntilMs = atMs + OFF_MS;
        return true;
    }
}
