/**
 * What is known of the service's past: the service may restart from an older copy of its data, which begins a new era. What it
 * acknowledged between the copy and the restart is lost then.
 */
export class KvHistory {
    private currentEra = 0;
    private firstEra: number | undefined;
    private lastConfirmedAtMs = Number.NEGATIVE_INFINITY;
    private eraKnownAtMs = Number.NEGATIVE_INFINITY;
    private readonly listeners: ((era: number) => void)[] = [];

    /** Number of the present era; 0 where the service tells none, and before its first response. */
    get era(): number {
        return this.currentEra;
    }

    /** Era of the first response; 0 before it. */
    get firstKnownEra(): number {
        return this.firstEra ?? 0;
    }

    /** Monotonic time, in milliseconds, at which the service certainly was in the present era. */
    get confirmedAtMs(): number {
        return this.lastConfirmedAtMs;
    }

    /** Monotonic time at which the present era became known, in milliseconds. */
    get knownAtMs(): number {
        return this.eraKnownAtMs;
    }

    /** Records the era of a response and the monotonic time, in milliseconds, at which its call was sent. */
    record(era: number, sentAtMs: number): void {
        if (!Number.isSafeInteger(era) || era < this.currentEra) {
            return;
        }
        this.firstEra ??= era;
        const hasAdvanced = era > this.currentEra;
        const wasKnown = this.lastConfirmedAtMs !== Number.NEGATIVE_INFINITY;
        this.currentEra = era;
        this.eraKnownAtMs = hasAdvanced || !wasKnown ? performance.now() : this.eraKnownAtMs;
        this.lastConfirmedAtMs = hasAdvanced ? sentAtMs : Math.max(this.lastConfirmedAtMs, sentAtMs);
        if (hasAdvanced && wasKnown) {
            this.listeners.forEach(listener => listener(era));
        }
    }

    /** Adds a listener that is called when the service has come back from an older copy. */
    onRestore(listener: (era: number) => void): void {
        this.listeners.push(listener);
    }
}
