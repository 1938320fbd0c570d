/** Weight of a sample in the mean where it is shorter than that, and where it is longer, as it is after a wait that says little about the speed. */
const SHORTER_WEIGHT = 0.3;
const LONGER_WEIGHT = 0.1;

/** Largest sample as a multiple of the mean. */
const MAX_RATIO = 2;

/** Time without samples after which the value is forgotten, in milliseconds. */
const FORGET_MS = 120_000;

/** Samples before which a value is not used. */
const MIN_SAMPLES = 3;

/** Mean of measured times, which single long ones hardly change. */
export class SpeedEstimate {
    private mean = 0;
    private samples = 0;
    private lastAtMs = Number.NEGATIVE_INFINITY;

    /** Adds a measured time. */
    add(sample: number, nowMs: number): void {
        if (nowMs - this.lastAtMs > FORGET_MS) {
            this.samples = 0;
        }
        this.lastAtMs = nowMs;
        this.samples += 1;
        if (this.samples === 1) {
            this.mean = sample;
            return;
        }
        const weight = sample < this.mean ? SHORTER_WEIGHT : LONGER_WEIGHT;
        this.mean += weight * (Math.min(sample, this.mean * MAX_RATIO) - this.mean);
    }

    /** The mean; undefined before there are enough samples, and once they are too old. */
    getValue(nowMs: number): number | undefined {
        return this.samples < MIN_SAMPLES || nowMs - this.lastAtMs > FORGET_MS ? undefined : this.mean;
    }
}
