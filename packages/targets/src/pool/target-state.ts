import type { Target } from "@ospreyreel/config";
import { PassiveHealth, type PassiveHealthOptions } from "./passive-health.js";

/** Load reported by an engine, with a delay. */
export interface LoadReport {
    readonly running: number;
    readonly queued: number;
    readonly capacity: number;
}

interface ReceivedReport {
    readonly others: number;
    readonly receivedAtMs: number;
}

/** State of one target at this instance. */
export class TargetState {
    readonly health: PassiveHealth;
    inFlight = 0;
    private report: ReceivedReport | undefined;
    private markedLeavingUntilMs = 0;

    constructor(public target: Target, health: PassiveHealthOptions = {}) {
        this.health = new PassiveHealth(health);
    }

    /** Applies a load report; own requests in it are counted here instead. `smoothing` is the new report's weight. */
    setReport(report: LoadReport, nowMs: number, smoothing = 1): void {
        const others = Math.max(0, report.running + report.queued - this.inFlight);
        const previous = this.report?.others ?? others;
        this.report = { others: previous + smoothing * (others - previous), receivedAtMs: nowMs };
    }

    /** Number of requests of other instances; 0 where the last report is older than `maxAgeMs`. */
    getOthers(nowMs: number, maxAgeMs: number): number {
        return this.report !== undefined && nowMs - this.report.receivedAtMs <= maxAgeMs ? this.report.others : 0;
    }

    /** Marks the target as leaving, regardless of the platform's list. */
    markLeaving(untilMs: number): void {
        this.markedLeavingUntilMs = Math.max(this.markedLeavingUntilMs, untilMs);
    }

    /** Whether the target is marked as leaving. */
    isMarkedLeaving(nowMs: number): boolean {
        return nowMs < this.markedLeavingUntilMs;
    }
}
