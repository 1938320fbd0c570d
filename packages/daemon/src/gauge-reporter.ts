import type { Ledger } from "@ospreyreel/ledger";
import type { AdmissionGate } from "@ospreyreel/targets";
import type { Counters } from "@ospreyreel/telemetry";
import type { ProcessMeter } from "./process-meter.js";

/** Options of {@link GaugeReporter}. */
export interface GaugeReporterOptions {
    readonly meter: ProcessMeter;
    readonly admission: AdmissionGate;
    readonly ledger: Ledger;
    readonly counters: Counters;
    /** Time between reports in milliseconds; 1,000 by default. */
    readonly periodMs?: number;
}

const DEFAULT_PERIOD_MS = 1_000;

/** Periodically sets the gauges that are not set where their values change. */
export class GaugeReporter {
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly opts: GaugeReporterOptions) {
        this.timer = setInterval(() => this.report(), opts.periodMs ?? DEFAULT_PERIOD_MS);
        this.timer.unref();
    }

    /** Sets all gauges now. */
    report(): void {
        const { meter, admission, ledger, counters } = this.opts;
        meter.endPeriod();
        const { rssBytes, uptimeS, eventLoopDelayMs } = meter.read();
        counters.set("process_rss_bytes", rssBytes);
        counters.set("process_uptime_s", uptimeS);
        counters.set("event_loop_delay_p99_ms", eventLoopDelayMs.p99);
        counters.set("event_loop_delay_max_ms", eventLoopDelayMs.max);
        for (const [offering, length] of Object.entries(admission.getQueueLengths())) {
            counters.set(`queue_length.${offering}`, length);
        }
        for (const [budget, figures] of Object.entries(ledger.getDump().budgets)) {
            counters.set(`budget_spent_tokens.${budget}`, figures.spent);
            counters.set(`budget_free_tokens.${budget}`, figures.free);
            counters.set(`budget_granted_tokens.${budget}`, figures.granted);
            counters.set(`budget_sealed_tokens.${budget}`, figures.sealed);
            counters.set(`budget_unproved_tokens.${budget}`, figures.unproved);
        }
    }

    /** Stops the reports and closes the meter. */
    close(): void {
        clearInterval(this.timer);
        this.opts.meter.close();
    }
}
