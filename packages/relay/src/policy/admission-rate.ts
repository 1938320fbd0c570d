/** Busy time after which the weight of an observation has fallen to 1/e, in milliseconds. */
const MEMORY_MS = 2_000;

/** Busy time from which a rate is told, in milliseconds. */
const MIN_BUSY_MS = 100;

/** Time without waiting requests after which a rate no longer counts, in milliseconds. */
const LAPSE_MS = 1_000;

const MS_PER_S = 1_000;

/**
 * Measures how many requests start in a second while others wait. A rate from the times of requests in flight would not do: a slot
 * that a request of this instance leaves may be taken by another instance.
 */
export class AdmissionRate {
    private busyMs = 0;
    private starts = 0;
    private isBusy = false;
    private updatedAtMs = Number.NEGATIVE_INFINITY;
    private busyAtMs = Number.NEGATIVE_INFINITY;

    /** Records whether requests wait from now on; `nowMs` is monotonic. */
    recordQueue(isBusy: boolean, nowMs: number): void {
        this.update(nowMs);
        this.isBusy = isBusy;
    }

    /** Records that a request started while requests wait. */
    recordStart(nowMs: number): void {
        this.update(nowMs);
        this.starts += 1;
    }

    /** Starts a second; undefined where too little was observed lately. */
    getPerS(nowMs: number): number | undefined {
        this.update(nowMs);
        if (this.busyMs < MIN_BUSY_MS || nowMs - this.busyAtMs > LAPSE_MS) {
            return undefined;
        }
        // One start is added, since a time without any says only that the rate is below one in that time.
        return (this.starts + 1) / this.busyMs * MS_PER_S;
    }

    private update(nowMs: number): void {
        const elapsedMs = nowMs - this.updatedAtMs;
        this.updatedAtMs = nowMs;
        if (nowMs - this.busyAtMs > LAPSE_MS && !this.isBusy) {
            this.busyMs = 0;
            this.starts = 0;
        }
        if (this.isBusy) {
            const kept = Math.exp(-elapsedMs / MEMORY_MS);
            this.busyMs = this.busyMs * kept + elapsedMs;
            this.starts *= kept;
            this.busyAtMs = nowMs;
        }
    }
}
