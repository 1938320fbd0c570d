/** Length of a window, in milliseconds; rates are computed from the current and the previous window. */
const WINDOW_MS = 1_000;

/** Maximum number of teams that are counted in a window. */
const MAX_TEAMS = 256;

const MS_PER_S = 1_000;

interface Window {
    readonly teams: Map<string, number>;
    started: number;
}

const createWindow = (): Window => ({ teams: new Map(), started: 0 });

/** Measures the requests a second of one service over the last one to two seconds: arrived ones by team, and started ones. */
export class DemandRates {
    private current = createWindow();
    private previous = createWindow();
    private beganAtMs = Number.NEGATIVE_INFINITY;
    private previousMs = 0;

    /** Counts a request that arrived; `nowMs` is monotonic. */
    recordOffered(team: string, nowMs: number): void {
        this.advance(nowMs);
        const { teams } = this.current;
        if (teams.has(team) || teams.size < MAX_TEAMS) {
            teams.set(team, (teams.get(team) ?? 0) + 1);
        }
    }

    /** Counts a request that started. */
    recordStarted(nowMs: number): void {
        this.advance(nowMs);
        this.current.started += 1;
    }

    /** The rates at a time. */
    getRates(nowMs: number): { readonly teams: Readonly<Record<string, number>>; readonly startedPerS: number; } {
        this.advance(nowMs);
        const perS = MS_PER_S / Math.max(WINDOW_MS, nowMs - this.beganAtMs + this.previousMs);
        const names = new Set([...this.current.teams.keys(), ...this.previous.teams.keys()]);
        const count = (team: string): number =>
            (this.current.teams.get(team) ?? 0) + (this.previous.teams.get(team) ?? 0);
        return {
            teams: Object.fromEntries([...names].map(team => [team, count(team) * perS])),
            startedPerS: (this.current.started + this.previous.started) * perS,
        };
    }

    private advance(nowMs: number): void {
        const elapsedMs = nowMs - this.beganAtMs;
        if (elapsedMs >= WINDOW_MS) {
            const isRecent = elapsedMs < 2 * WINDOW_MS;
            this.previous = isRecent ? this.current : createWindow();
            this.previousMs = isRecent ? elapsedMs : 0;
            this.current = createWindow();
            this.beganAtMs = nowMs;
        }
    }
}
