/** Number of samples after which the weight of a new one stays the same. */
const MEMORY_SAMPLES = 500;

/** Smallest share of the mean time that does not depend on the prompt, so that no estimate is zero or negative. */
const MIN_BASE_SHARE = 0.1;

/** Ratio to the estimate up to which a time counts; a few very late responses would tilt the line otherwise. */
const MAX_RATIO = 4;

/** Learns how long the first byte takes by the length of the prompt: a base, and a time for each prompt token. */
export class PromptTimeModel {
    private samples = 0;
    private meanTokens = 0;
    private meanMs = 0;
    private variance = 0;
    private covariance = 0;

    /** Number of samples that it is based on. */
    get size(): number {
        return this.samples;
    }

    /** Mean number of prompt tokens. */
    get promptTokens(): number {
        return this.meanTokens;
    }

    /** Records a time to the first byte, in milliseconds. */
    record(promptTokens: number, ms: number): void {
        const bounded = this.samples === 0 ? ms : Math.min(ms, MAX_RATIO * this.getMs(promptTokens));
        this.samples = Math.min(MEMORY_SAMPLES, this.samples + 1);
        const weight = 1 / this.samples;
        const tokensOff = promptTokens - this.meanTokens;
        const msOff = bounded - this.meanMs;
        this.meanTokens += weight * tokensOff;
        this.meanMs += weight * msOff;
        this.variance = (1 - weight) * (this.variance + weight * tokensOff * tokensOff);
        this.covariance = (1 - weight) * (this.covariance + weight * tokensOff * msOff);
    }

    /** Usual time to the first byte of a prompt, in milliseconds; above 0 after the first sample. */
    getMs(promptTokens: number): number {
        const steepest = (1 - MIN_BASE_SHARE) * this.meanMs / Math.max(1, this.meanTokens);
        const slope = this.variance === 0 ? 0 : Math.min(steepest, Math.max(0, this.covariance / this.variance));
        return Math.max(MIN_BASE_SHARE * this.meanMs, this.meanMs + slope * (promptTokens - this.meanTokens));
    }
}
