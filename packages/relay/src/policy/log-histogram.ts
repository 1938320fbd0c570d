/** Buckets for each doubling of the value, so that a quantile is at most 9% too large. */
const BUCKETS_PER_OCTAVE = 8;

/** Smallest and largest value that are told apart, as powers of two. */
const MIN_EXPONENT = -6;
const MAX_EXPONENT = 10;

const BUCKET_COUNT = (MAX_EXPONENT - MIN_EXPONENT) * BUCKETS_PER_OCTAVE;

const getBucket = (value: number): number => {
    const at = Math.ceil((Math.log2(Math.max(value, Number.MIN_VALUE)) - MIN_EXPONENT) * BUCKETS_PER_OCTAVE);
    return Math.min(BUCKET_COUNT - 1, Math.max(0, at));
};

/** Histogram of positive numbers with buckets of equal ratio; its size does not depend on the number of values. */
export class LogHistogram {
    private readonly counts = new Uint32Array(BUCKET_COUNT);
    private values = 0;

    /** Number of values. */
    get size(): number {
        return this.values;
    }

    /** Adds a value. */
    add(value: number): void {
        const bucket = getBucket(value);
        this.counts[bucket] = (this.counts[bucket] ?? 0) + 1;
        this.values += 1;
    }

    /** Smallest bound of a bucket that at least a share of the values of both histograms does not exceed; 0 where both are empty. */
    getQuantileWith(other: LogHistogram, share: number): number {
        let missing = share * (this.values + other.values);
        if (missing <= 0) {
            return 0;
        }
        const bucket = this.counts.findIndex((count, at) => {
            missing -= count + (other.counts[at] ?? 0);
            return missing <= 0;
        });
        return 2 ** ((bucket === -1 ? BUCKET_COUNT : bucket) / BUCKETS_PER_OCTAVE + MIN_EXPONENT);
    }
}
