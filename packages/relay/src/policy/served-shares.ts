/** Length of a window, in milliseconds; shares are computed from the current and the previous window. */
const WINDOW_MS = 2_000;

const MS_PER_S = 1_000;

interface Counts {
    offered: number;
    started: number;
}

type Window = Map<number, Counts>;

/** Counts the requests of one service by priority over the last two to four seconds: how many arrived, and how many started. */
export class ServedShares {
    private current: Window = new Map();
    private previous: Window = new Map();
    private startedAtMs = Number.NEGATIVE_INFINITY;
    private hasPrevious = false;

    /** Counts a request that arrived; `nowMs` is monotonic. */
    recordOffered(priority: number, nowMs: number): void {
        this.getCounts(priority, nowMs).offered += 1;
    }

    /** Counts a request that may be sent. */
    recordStarted(priority: number, nowMs: number): void {
        this.getCounts(priority, nowMs).started += 1;
    }

    /** Share of the requests of a priority that started, 0 to 1; undefined where none arrived. */
    getShare(priority: number): number | undefined {
        const { offered, started } = this.sum(priority);
        return offered === 0 ? undefined : Math.min(1, started / offered);
    }

    /** Smallest share of the priorities that are more urgent than one; undefined where none of them arrived. */
    getSmallestMoreUrgent(priority: number): number | undefined {
        const shares = this.list().filter(other => other < priority).map(other => this.getShare(other))
            .filter(share => share !== undefined);
        return shares.length === 0 ? undefined : Math.min(...shares);
    }

    /** Requests a second that are more urgent than a priority and started. */
    getMoreUrgentStartsPerS(priority: number, nowMs: number): number {
        const started = this.list().filter(other => other < priority)
            .reduce((sum, other) => sum + this.sum(other).started, 0);
        const windowMs = Math.max(WINDOW_MS / 2, nowMs - this.startedAtMs) + (this.hasPrevious ? WINDOW_MS : 0);
        return started / windowMs * MS_PER_S;
    }

    private list(): readonly number[] {
        return [...new Set([...this.current.keys(), ...this.previous.keys()])];
    }

    private sum(priority: number): Counts {
        const [a, b] = [this.current.get(priority), this.previous.get(priority)];
        return {
            offered: (a?.offered ?? 0) + (b?.offered ?? 0),
            started: (a?.started ?? 0) + (b?.started ?? 0),
        };
    }

    private getCounts(priority: number, nowMs: number): Counts {
        if (nowMs - this.startedAtMs >= WINDOW_MS) {
            this.hasPrevious = nowMs - this.startedAtMs < 2 * WINDOW_MS;
            this.previous = this.hasPrevious ? this.current : new Map<number, Counts>();
            this.current = new Map();
            this.startedAtMs = nowMs;
        }
        const counts = this.current.get(priority) ?? { offered: 0, started: 0 };
        this.current.set(priority, counts);
        return counts;
    }
}
