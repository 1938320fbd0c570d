import { LogHistogram } from "./log-histogram.js";
import { PromptTimeModel } from "./prompt-time-model.js";

/** Options of {@link FirstByteTimes}. */
export interface FirstByteTimesOptions {
    /** Share of the times that the quantile is not shorter than, between 0 and 1. */
    readonly quantile: number;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
}

/** Time after which a histogram is replaced; times count for once to twice as long. In milliseconds. */
const GENERATION_MS = 120_000;

/** Samples that only show how the times depend on the prompt, before any is compared with the usual time. */
const WARM_UP_SAMPLES = 20;

/** Samples beyond the quantile that are needed to rely on it. */
const MIN_SAMPLES_BEYOND = 3;

/** Shortest time that is recorded, in milliseconds. */
const MIN_MS = 0.1;

/** A high quantile of one service's times to the first byte, scaled to the prompt. */
export class FirstByteTimes {
    private readonly model = new PromptTimeModel();
    /** Ratios of the times to the usual times of their prompts. */
    private current = new LogHistogram();
    private previous = new LogHistogram();
    private generation: number;

    constructor(private readonly opts: FirstByteTimesOptions) {
        this.generation = this.currentGeneration();
    }

    /** Number of times that count. */
    get samples(): number {
        this.advance();
        return this.current.size + this.previous.size;
    }

    /** Mean number of prompt tokens. */
    get promptTokens(): number {
        return this.model.promptTokens;
    }

    /** Records a time to the first byte in milliseconds, also one that was ended then. */
    record(promptTokens: number, ms: number): void {
        this.advance();
        const counted = Math.max(MIN_MS, ms);
        if (this.model.size >= WARM_UP_SAMPLES) {
            this.current.add(counted / this.model.getMs(promptTokens));
        }
        this.model.record(promptTokens, counted);
    }

    /** Quantile of the times for a prompt, in milliseconds; undefined while there are too few samples. */
    getQuantileMs(promptTokens: number): number | undefined {
        const { quantile } = this.opts;
        return this.samples * (1 - quantile) < MIN_SAMPLES_BEYOND
            ? undefined
            : this.current.getQuantileWith(this.previous, quantile) * this.model.getMs(promptTokens);
    }

    private currentGeneration(): number {
        return Math.floor(this.opts.nowMs() / GENERATION_MS);
    }

    private advance(): void {
        const generation = this.currentGeneration();
        if (generation !== this.generation) {
            this.previous = generation === this.generation + 1 ? this.current : new LogHistogram();
            this.current = new LogHistogram();
            this.generation = generation;
        }
    }
}
