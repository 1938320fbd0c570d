import { EventLoopLoad } from "../handoff/event-loop-load.js";
import type { OverloadGuard } from "../policy/overload-guard.js";
import type { RelayLog } from "../relay-log.js";
import type { InputDelayMeter } from "./input-delay-meter.js";

/** Options of {@link startOverloadWatch}. */
export interface OverloadWatchOptions {
    /** Measures the wait of new connections. */
    readonly meter: InputDelayMeter;
    readonly guard: OverloadGuard;
    /** Number of callers' requests that were read since the start. */
    readonly getReadRequests: () => number;
    readonly log: RelayLog;
}

const PERCENT = 100;

/** Time in which a connection that is being measured may have begun to wait before its wait counts, in milliseconds. */
const MEASURE_MS = 400;

/** Number of samples whose counts are kept: those of the longest wait that is measured. */
const MAX_COUNTS = 16;

/** Number of requests read until a monotonic time, in milliseconds. */
interface ReadCount {
    readonly atMs: number;
    readonly requests: number;
}

/** Reports the wait of new connections and the idle time of the event loop to the guard, and logs when it starts and stops refusing. */
export const startOverloadWatch = ({ meter, guard, log, getReadRequests }: OverloadWatchOptions): void => {
    const counts: ReadCount[] = [];
    const load = new EventLoopLoad();
    meter.start(delayMs => {
        const wasRefusing = guard.isRefusing;
        const idleShare = load.takeIdleShare();
        counts.push({ atMs: performance.now(), requests: getReadRequests() });
        counts.splice(0, counts.length - MAX_COUNTS);
        const requests = getRequestsSince(counts, performance.now() - delayMs - MEASURE_MS);
        guard.recordSample({ inputDelayMs: delayMs, idleShare, requests });
        if (guard.isRefusing !== wasRefusing) {
            const event = guard.isRefusing ? "callers wait too long" : "callers are taken in time again";
            log.write(event, {
                delayMs: Math.round(delayMs),
                idlePercent: Math.round(idleShare * PERCENT),
                requests,
            });
        }
    });
};

const getRequestsSince = (counts: readonly ReadCount[], fromMs: number): number => {
    const before = counts.findLast(({ atMs }) => atMs <= fromMs) ?? counts[0];
    return (counts.at(-1)?.requests ?? 0) - (before?.requests ?? 0);
};
