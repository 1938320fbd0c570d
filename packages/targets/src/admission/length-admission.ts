import { type AdmissionDecision, type AdmissionInput, AdmissionPolicy } from "./admission-policy.js";

/** Admits requests up to a maximum queue length; the baseline for comparison. */
export class LengthAdmission extends AdmissionPolicy {
    constructor(private readonly maxQueued: number) {
        super();
    }

    override decide(input: AdmissionInput): AdmissionDecision {
        return input.queued < this.maxQueued ? { admitted: true } : { admitted: false, retryAfterS: 1 };
    }
}
