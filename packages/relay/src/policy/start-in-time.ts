import { type AdmissionDecision, type AdmissionInput, AdmissionPolicy } from "@ospreyreel/targets";

/** Options of {@link StartInTime}. */
export interface StartInTimeOptions {
    /** Requests a second that go before those of a priority while they wait. */
    readonly getOvertakingPerS: (priority: number) => number;
    /** Maximum number of waiting requests. */
    readonly maxQueued?: number;
}

/** Maximum number of requests of one service that wait at an instance; bounds the memory for their bodies. */
const DEFAULT_MAX_QUEUED = 256;

/** Share of the service rate that is assumed for less urgent requests where more urgent ones use nearly all of it. */
const MIN_RATE_SHARE = 0.1;

const MS_PER_S = 1_000;

/** Lets a request wait if it is expected to start in time at the measured rate; where none is measured yet, it may wait. */
export class StartInTime extends AdmissionPolicy {
    constructor(private readonly opts: StartInTimeOptions) {
        super();
    }

    /** Expected time until a request starts, in milliseconds; 0 where no rate is known. */
    estimateWaitMs({ ahead, servedPerS, priority }: Pick<AdmissionInput, "ahead" | "servedPerS" | "priority">): number {
        if (servedPerS === undefined) {
            return 0;
        }
        const leftPerS = servedPerS - this.opts.getOvertakingPerS(priority);
        return (ahead + 1) / Math.max(leftPerS, servedPerS * MIN_RATE_SHARE) * MS_PER_S;
    }

    override decide(input: AdmissionInput): AdmissionDecision {
        const { maxQueued = DEFAULT_MAX_QUEUED } = this.opts;
        const waitMs = this.estimateWaitMs(input);
        return input.timeLeftMs > 0 && input.queued < maxQueued && waitMs <= input.timeLeftMs
            ? { admitted: true }
            : { admitted: false, retryAfterS: waitMs / MS_PER_S };
    }
}
