import type { TargetReport } from "./target-report.js";

/** A report of one start of a target, as it is passed between instances. */
export interface TargetReading extends TargetReport {
    /** Digest of the name of the start. */
    readonly start: number;
    /** Age of the report, in milliseconds. */
    readonly ageMs: number;
}
