/** Failures in a row after which calls are refused without being sent. */
const FAILURES_TO_OPEN = 2;

/** Time between two trial calls while calls are refused, in milliseconds. */
const TRIAL_EVERY_MS = 250;

/** What recent calls say of the KV service, shared by all who call it; the circuit breaker's state. */
export class KvHealth {
    private failuresInRow = 0;
    private lastAwayAtMs = Number.NEGATIVE_INFINITY;
    private nextTrialAtMs = 0;
    private lastSuccessAtMs = Number.NEGATIVE_INFINITY;
    private readonly listeners: ((available: boolean) => void)[] = [];

    constructor(private readonly now: () => number = () => performance.now()) {}

    /** Whether the service answered last; false while calls are refused. */
    get isAvailable(): boolean {
        return this.failuresInRow < FAILURES_TO_OPEN;
    }

    /** Whether the service is away, or was within the last time given, in milliseconds. */
    wasAwayWithin(ms: number): boolean {
        return !this.isAvailable || this.now() - this.lastAwayAtMs < ms;
    }

    /** Time since the service was last away, in milliseconds, as far as is known; 0 while it is. */
    get sinceAwayMs(): number {
        return this.isAvailable ? this.now() - this.lastAwayAtMs : 0;
    }

    /** Notes that the service was away for another instance some time ago, in milliseconds. */
    noteAwayElsewhere(agoMs: number): void {
        this.lastAwayAtMs = Math.max(this.lastAwayAtMs, this.now() - agoMs);
    }

    /** Time since the last call that was answered, in milliseconds. */
    get silentMs(): number {
        return this.now() - this.lastSuccessAtMs;
    }

    /** Whether a call may be sent now; while the service is away only a trial now and then. */
    mayCall(): boolean {
        if (this.isAvailable) {
            return true;
        }
        if (this.now() < this.nextTrialAtMs) {
            return false;
        }
        this.nextTrialAtMs = this.now() + TRIAL_EVERY_MS;
        return true;
    }

    /** Notes an answered call. */
    noteSuccess(): void {
        this.lastSuccessAtMs = this.now();
        if (!this.isAvailable) {
            this.lastAwayAtMs = this.now();
        }
        this.change(0);
    }

    /** Notes a call without an answer, or one that was turned away. */
    noteFailure(): void {
        this.nextTrialAtMs = this.now() + TRIAL_EVERY_MS;
        this.change(this.failuresInRow + 1);
    }

    /** Calls back when the service is lost or regained. */
    onChange(listener: (available: boolean) => void): void {
        this.listeners.push(listener);
    }

    private change(failuresInRow: number): void {
        const before = this.isAvailable;
        this.failuresInRow = failuresInRow;
        if (before !== this.isAvailable) {
            this.listeners.forEach(listener => listener(this.isAvailable));
        }
    }
}
