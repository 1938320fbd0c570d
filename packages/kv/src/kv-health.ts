/** Consecutive failures after which calls are rejected without being sent. */
const FAILURES_TO_OPEN_BREAKER = 2;

/** Interval of trial calls while calls are rejected. */
const TRIAL_INTERVAL_MS = 250;

/** State of the circuit breaker for the KV service, shared by all its callers. */
export class KvHealth {
    private consecutiveFailures = 0;
    private lastUnavailableAtMs = Number.NEGATIVE_INFINITY;
    private nextTrialAtMs = 0;
    private lastSuccessAtMs = Number.NEGATIVE_INFINITY;
    private readonly listeners: ((available: boolean) => void)[] = [];

    constructor(private readonly now: () => number = () => performance.now()) {}

    /** Whether calls are sent; false while the breaker rejects them. */
    get isAvailable(): boolean {
        return this.consecutiveFailures < FAILURES_TO_OPEN_BREAKER;
    }

    /** Whether the service is unavailable, or was within the last `ms` milliseconds. */
    wasUnavailableWithin(ms: number): boolean {
        return !this.isAvailable || this.now() - this.lastUnavailableAtMs < ms;
    }

    /** Milliseconds since the service was last known to be unavailable; 0 while it is. */
    get msSinceUnavailable(): number {
        return this.isAvailable ? this.now() - this.lastUnavailableAtMs : 0;
    }

    /** Records that the service was unavailable to another instance `agoMs` milliseconds ago. */
    recordRemoteOutage(agoMs: number): void {
        this.lastUnavailableAtMs = Math.max(this.lastUnavailableAtMs, this.now() - agoMs);
    }

    /** Milliseconds since the last successful call. */
    get silentMs(): number {
        return this.now() - this.lastSuccessAtMs;
    }

    /** Whether a call may be sent now; while the service is unavailable, only one trial call each interval. */
    tryAcquireCall(): boolean {
        if (this.isAvailable) {
            return true;
        }
        if (this.now() < this.nextTrialAtMs) {
            return false;
        }
        this.nextTrialAtMs = this.now() + TRIAL_INTERVAL_MS;
        return true;
    }

    /** Records a call that got a response. */
    recordSuccess(): void {
        this.lastSuccessAtMs = this.now();
        if (!this.isAvailable) {
            this.lastUnavailableAtMs = this.now();
        }
        this.setConsecutiveFailures(0);
    }

    /** Records a call that got no response or was rejected. */
    recordFailure(): void {
        this.nextTrialAtMs = this.now() + TRIAL_INTERVAL_MS;
        this.setConsecutiveFailures(this.consecutiveFailures + 1);
    }

    /** Adds a listener that is called when the service becomes unavailable or available again. */
    onChange(listener: (available: boolean) => void): void {
        this.listeners.push(listener);
    }

    private setConsecutiveFailures(consecutiveFailures: number): void {
        const wasAvailable = this.isAvailable;
        this.consecutiveFailures = consecutiveFailures;
        if (wasAvailable !== this.isAvailable) {
            this.listeners.forEach(listener => listener(this.isAvailable));
        }
    }
}
