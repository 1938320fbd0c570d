/** Length of a window, in milliseconds; shares are computed from the current and the previous window. */
const WINDOW_MS = 1_000;

/** Counts requests by team over the last one to two seconds. */
export class TeamShares {
    private current = new Map<string, number>();
    private previous = new Map<string, number>();
    private startedAtMs = 0;

    /** Counts a request; `nowMs` is monotonic. */
    record(team: string, nowMs: number): void {
        if (nowMs - this.startedAtMs >= WINDOW_MS) {
            this.previous = nowMs - this.startedAtMs >= 2 * WINDOW_MS ? new Map<string, number>() : this.current;
            this.current = new Map();
            this.startedAtMs = nowMs;
        }
        this.current.set(team, (this.current.get(team) ?? 0) + 1);
    }

    /** Requests of a counted team relative to those of the largest team, up to 1. Iterates over all teams. */
    getShareOfLargest(team: string): number {
        const largest = Math.max(...[...this.current.keys(), ...this.previous.keys()].map(name => this.count(name)));
        return this.count(team) / largest;
    }

    private count(team: string): number {
        return (this.current.get(team) ?? 0) + (this.previous.get(team) ?? 0);
    }
}
