/** Length of a window, in milliseconds; shares are told from the present one and the one before. */
const WINDOW_MS = 1_000;

/** Counts requests by team over the last one to two seconds. */
export class TeamShares {
    private present = new Map<string, number>();
    private before = new Map<string, number>();
    private startedAtMs = 0;

    /** Counts a request; `nowMs` is monotonic. */
    note(team: string, nowMs: number): void {
        if (nowMs - this.startedAtMs >= WINDOW_MS) {
            this.before = nowMs - this.startedAtMs >= 2 * WINDOW_MS ? new Map<string, number>() : this.present;
            this.present = new Map();
            this.startedAtMs = nowMs;
        }
        this.present.set(team, (this.present.get(team) ?? 0) + 1);
    }

    /** What a team that was counted sends as a part of what the largest sends, up to 1; looks at all teams. */
    getBesideLargest(team: string): number {
        const largest = Math.max(...[...this.present.keys(), ...this.before.keys()].map(name => this.count(name)));
        return this.count(team) / largest;
    }

    private count(team: string): number {
        return (this.present.get(team) ?? 0) + (this.before.get(team) ?? 0);
    }
}
