import { type IntervalHistogram, monitorEventLoopDelay } from "node:perf_hooks";

/** Resource usage of the process. */
export interface ProcessFigures {
    readonly pid: number;
    readonly uptimeS: number;
    /** Processor time since the start, in microseconds. */
    readonly cpuUs: number;
    readonly rssBytes: number;
    readonly heapUsedBytes: number;
    /** Delay of timers within the last ended period, in milliseconds. */
    readonly eventLoopDelayMs: { readonly mean: number; readonly p99: number; readonly max: number; };
}

const RESOLUTION_MS = 20;
const NS_PER_MS = 1e6;
const P99 = 99;

const noDelay = { mean: 0, p99: 0, max: 0 } as const;

/** The histogram records the intervals between its timer's calls, so the timer's resolution is subtracted. */
const toDelayMs = (intervalNs: number): number =>
    Math.max(0, Math.round((intervalNs / NS_PER_MS - RESOLUTION_MS) * 100) / 100);

/** Measures memory and event-loop delay of this process. */
export class ProcessMeter {
    private readonly histogram: IntervalHistogram;
    private delay: ProcessFigures["eventLoopDelayMs"] = noDelay;

    constructor() {
        this.histogram = monitorEventLoopDelay({ resolution: RESOLUTION_MS });
        this.histogram.enable();
    }

    /** Ends a measurement period of the event-loop delay and starts the next. */
    endPeriod(): void {
        const { histogram } = this;
        this.delay = histogram.count === 0
            ? noDelay
            : {
                mean: toDelayMs(histogram.mean),
                p99: toDelayMs(histogram.percentile(P99)),
                max: toDelayMs(histogram.max),
            };
        histogram.reset();
    }

    /** Returns the current figures; the event-loop delay is that of the last ended period. */
    read(): ProcessFigures {
        const { user, system } = process.cpuUsage();
        const { rss, heapUsed } = process.memoryUsage();
        return {
            pid: process.pid,
            cpuUs: user + system,
            uptimeS: Math.round(process.uptime()),
            rssBytes: rss,
            heapUsedBytes: heapUsed,
            eventLoopDelayMs: this.delay,
        };
    }

    /** Stops measuring. */
    close(): void {
        this.histogram.disable();
    }
}
