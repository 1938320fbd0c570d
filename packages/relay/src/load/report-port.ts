import type { Target } from "../targets/target.js";
import type { TargetReport } from "./target-report.js";

/** Outcome of reading a report. */
export type ReportOutcome =
    | { readonly kind: "read"; readonly report: TargetReport; }
    /** The target responded, but with no report. */
    | { readonly kind: "none"; }
    | { readonly kind: "failed"; readonly cause: string; };

/** Reads the reports of targets. */
export abstract class ReportPort {
    /** Reads one report; does not throw. */
    abstract read(target: Target): Promise<ReportOutcome>;

    /** Closes the connections to targets that are not listed. */
    abstract keepOnly(targets: readonly Target[]): void;
}
