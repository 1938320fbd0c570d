import { TargetLimit } from "../limits/target-limit.js";
import { TargetHealth } from "./target-health.js";
import type { Target } from "./target.js";

/** A target with this instance's state of it. */
export class TargetState {
    /** This instance's requests in flight at the target. */
    inFlight = 0;
    readonly health = new TargetHealth();
    readonly limit = new TargetLimit();

    constructor(public target: Target) {}

    /** Marks the target as leaving, also for requests that have selected it and are not sent yet. */
    markLeaving(): void {
        this.target = { ...this.target, leaving: true };
    }
}
