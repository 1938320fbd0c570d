/** Input of a policy for a request that would have to wait. */
export interface AdmissionInput {
    /** 0 (first) to 9 (last). */
    readonly priority: number;
    /** Waiting requests that would be admitted before it. */
    readonly ahead: number;
    /** Number of waiting requests. */
    readonly queued: number;
    /** Measured rate of service; `undefined` before the first measurement. */
    readonly servedPerS: number | undefined;
    /** Remaining time until its deadline, in milliseconds. */
    readonly timeLeftMs: number;
}

/** Whether a request may wait; if not, when to retry. */
export type AdmissionDecision =
    | { readonly admitted: true; }
    | { readonly admitted: false; readonly retryAfterS: number; };

/** Decides which requests may wait for a target. */
export abstract class AdmissionPolicy {
    /** Decides on one request. */
    abstract decide(input: AdmissionInput): AdmissionDecision;
}
