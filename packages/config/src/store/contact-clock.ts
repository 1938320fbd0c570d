const MS_PER_S = 1000;

/** Records the time of the last contact to the key-value service or a peer. */
export class ContactClock {
    private readonly now: () => number;
    private lastContactMs: number;

    /** `now` is a monotonic clock in milliseconds. */
    constructor(now: () => number) {
        this.now = now;
        this.lastContactMs = now();
    }

    /** Records a contact. */
    touch(): void {
        this.lastContactMs = this.now();
    }

    /** Whether the last contact is longer ago than this; never for 0. Unit: seconds. */
    isOlderThan(seconds: number): boolean {
        return seconds > 0 && this.now() - this.lastContactMs > seconds * MS_PER_S;
    }
}
