import { TargetHealth } from "./target-health.js";
import type { Target } from "./target.js";

/** A target with what this instance knows of it. */
export class TargetState {
    /** Own requests that it works on. */
    inFlight = 0;
    readonly health = new TargetHealth();

    constructor(public target: Target) {}
}
