const SECOND_MS = 1_000;

/**
 * Writes one line a second at most for each limit that callers reach, with how often it was reached since the line before and what reached it
 * last.
 */
export class LimitLog<Limit extends string, Detail> {
    private readonly reached = new Map<Limit, { count: number; nextAtMs: number; }>();

    constructor(
        private readonly write: (limit: Limit, count: number, detail: Detail) => void,
        private readonly nowMs: () => number = () => performance.now(),
    ) {}

    /** Takes note that a limit was reached. */
    record(limit: Limit, detail: Detail): void {
        const known = this.reached.get(limit) ?? { count: 0, nextAtMs: 0 };
        this.reached.set(limit, known);
        known.count += 1;
        if (this.nowMs() >= known.nextAtMs) {
            this.write(limit, known.count, detail);
            known.count = 0;
            known.nextAtMs = this.nowMs() + SECOND_MS;
        }
    }
}
