import type { Target } from "@ospreyreel/config";
import type { AdmissionGate, RetryBudget, TargetOutcome } from "@ospreyreel/targets";
import type { RequestContext } from "./request-context.js";

/** Permission to send one request to a target. */
export interface TargetSlot {
    readonly target: Target;
    /** Releases the slot; further calls do nothing. */
    readonly release: (outcome: TargetOutcome) => void;
}

/** Options of {@link TargetGate}. */
export interface TargetGateOptions {
    readonly admission: AdmissionGate;
    readonly retries: RetryBudget;
}

/** Decides when and to which target a request is sent, and whether it may be retried at another one. */
export class TargetGate {
    constructor(private readonly opts: TargetGateOptions) {}

    /** Waits for a target. Throws `overloaded` or `noTarget` once it is known that none becomes available in time. */
    async acquire(ctx: RequestContext, triedTargets: readonly string[]): Promise<TargetSlot> {
        if (triedTargets.length === 0) {
            this.opts.retries.recordFirstAttempt();
        }
        return await this.opts.admission.admit({
            offering: ctx.offering.name,
            prefixHash: ctx.prefixHash,
            exclude: new Set(triedTargets),
            priority: ctx.priority,
            timeLeftMs: ctx.deadlineMs - Date.now(),
        });
    }

    /** Takes one retry from the retry budget; false where it is exhausted. */
    tryRetry(): boolean {
        return this.opts.retries.tryRetry();
    }
}
