interface Shortage {
    readonly tokens: number;
    readonly revision: number;
    readonly untilMs: number;
}

const SHORTAGE_CACHE_MS = 250;

/** Budgets recently found short, so that a caller that repeats its requests costs no calls to the key-value service. */
export class Shortages {
    private readonly known = new Map<string, Shortage>();

    constructor(private readonly now: () => number = Date.now) {}

    /** Records that a budget could not reserve so many tokens at a revision of the document. */
    record(budget: string, tokens: number, revision: number): void {
        this.known.set(budget, { tokens, revision, untilMs: this.now() + SHORTAGE_CACHE_MS });
    }

    /** Whether as many or fewer tokens were refused recently and the document has not changed since. */
    isShort(budget: string, tokens: number, revision: number): boolean {
        const shortage = this.known.get(budget);
        if (shortage === undefined || shortage.untilMs < this.now()) {
            this.known.delete(budget);
            return false;
        }
        return tokens >= shortage.tokens && revision === shortage.revision;
    }
}
