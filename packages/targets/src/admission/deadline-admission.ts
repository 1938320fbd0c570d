import { type AdmissionDecision, type AdmissionInput, AdmissionPolicy } from "./admission-policy.js";

/** Options of {@link DeadlineAdmission}. */
export interface DeadlineAdmissionOptions {
    /** Maximum number of waiting requests, regardless of their deadlines. */
    readonly maxQueued?: number;
    /** Share of the remaining time for the expected wait of the last priority; the remainder is for the first byte. */
    readonly maxWaitShare?: number;
    /** Maximum Retry-After, in seconds. */
    readonly maxRetryAfterS?: number;
}

const DEFAULT_MAX_QUEUED = 256;
const DEFAULT_MAX_WAIT_SHARE = 0.5;
const DEFAULT_MAX_RETRY_AFTER_S = 30;
const LAST_PRIORITY = 9;
/** Share of `maxWaitShare` for the first priority; the remainder reserves some room in the queue for the last ones. */
const FIRST_PRIORITY_WAIT_SHARE = 0.85;

/** Admits requests whose turn is expected well before their deadline at the measured rate of service. */
export class DeadlineAdmission extends AdmissionPolicy {
    constructor(private readonly opts: DeadlineAdmissionOptions = {}) {
        super();
    }

    override decide(input: AdmissionInput): AdmissionDecision {
        const { maxQueued = DEFAULT_MAX_QUEUED, maxWaitShare = DEFAULT_MAX_WAIT_SHARE } = this.opts;
        const waitMs = this.estimateWaitMs(input);
        const priorityShare = FIRST_PRIORITY_WAIT_SHARE
            + (1 - FIRST_PRIORITY_WAIT_SHARE) * input.priority / LAST_PRIORITY;
        const maxWaitMs = input.timeLeftMs * maxWaitShare * priorityShare;
        if (input.timeLeftMs > 0 && input.queued < maxQueued && waitMs <= maxWaitMs) {
            return { admitted: true };
        }
        return { admitted: false, retryAfterS: this.toRetryAfterS(waitMs - maxWaitMs) };
    }

    private estimateWaitMs({ ahead, servedPerS }: AdmissionInput): number {
        if (servedPerS === undefined) {
            return 0;
        }
        return servedPerS > 0 ? (ahead + 1) / servedPerS * 1000 : Number.POSITIVE_INFINITY;
    }

    /** Rounds the time by which the wait exceeds its limit up to whole seconds, at least one. */
    private toRetryAfterS(excessMs: number): number {
        const { maxRetryAfterS = DEFAULT_MAX_RETRY_AFTER_S } = this.opts;
        return Math.min(maxRetryAfterS, Math.max(1, Math.ceil(excessMs / 1000)));
    }
}
