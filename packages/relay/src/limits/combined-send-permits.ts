import type { TargetOutcome } from "../targets/target-port.js";
import type { TargetState } from "../targets/target-state.js";
import { SendPermits } from "./send-permits.js";

/** Grants a send where all of several permits do. */
export class CombinedSendPermits extends SendPermits {
    constructor(private readonly permits: readonly SendPermits[]) {
        super();
    }

    override async acquire(state: TargetState): Promise<boolean> {
        const acquired: SendPermits[] = [];
        for (const permit of this.permits) {
            if (!await permit.acquire(state)) {
                acquired.forEach(earlier => earlier.release(state));
                return false;
            }
            acquired.push(permit);
        }
        return true;
    }

    override release(state: TargetState): void {
        this.permits.forEach(permit => permit.release(state));
    }

    override recordOutcome(state: TargetState, outcome: TargetOutcome, startedAtMs: number): void {
        this.permits.forEach(permit => permit.recordOutcome(state, outcome, startedAtMs));
    }
}
