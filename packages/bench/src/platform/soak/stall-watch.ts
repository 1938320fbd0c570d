import type { FaultTimeline } from "./fault-timeline.js";

const INTERVAL_MS = 100;

/** Time beyond the interval from which this process counts as stalled, in milliseconds. */
const STALLED_AFTER_MS = 500;

/**
 * Records as disturbances of all parts the times in which this process, in which targets, store, proxies and callers
 * run, did not get to work. Returns what ends it and tells how often that was.
 */
export const watchStalls = (timeline: FaultTimeline, parts: readonly string[]): () => number => {
    let lastMs = performance.now();
    let stalls = 0;
    const timer = setInterval(() => {
        const nowMs = performance.now();
        if (nowMs - lastMs > INTERVAL_MS + STALLED_AFTER_MS) {
            stalls += 1;
            timeline.addDisturbance(parts, lastMs, nowMs);
        }
        lastMs = nowMs;
    }, INTERVAL_MS);
    return () => {
        clearInterval(timer);
        return stalls;
    };
};
