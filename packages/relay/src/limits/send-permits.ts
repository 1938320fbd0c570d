import type { TargetOutcome } from "../targets/target-port.js";
import type { TargetState } from "../targets/target-state.js";

/** Keeps the sends to targets within what they say that they can take. */
export abstract class SendPermits {
    /** Acquires one send to a target; returns false where there is none now. Does not throw. */
    abstract acquire(state: TargetState): Promise<boolean>;

    /** Ends an acquired send, whether it was sent or not. */
    abstract release(state: TargetState): void;

    /** Records what the outcome of a send that started at a monotonic time, in milliseconds, says about the limit. */
    abstract recordOutcome(state: TargetState, outcome: TargetOutcome, startedAtMs: number): void;
}

/** Allows every send. */
export class UnlimitedSends extends SendPermits {
    override acquire(): Promise<boolean> {
        return Promise.resolve(true);
    }

    override release(): void {
        // Nothing is counted.
    }

    override recordOutcome(): void {
        // Nothing is remembered.
    }
}
