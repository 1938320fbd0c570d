import type { OverloadGuard } from "../policy/overload-guard.js";
import type { RelayLog } from "../relay-log.js";
import { InputDelayMeter, type InputDelayMeterOptions } from "./input-delay-meter.js";

/** Options of {@link startOverloadWatch}. */
export interface OverloadWatchOptions extends InputDelayMeterOptions {
    readonly guard: OverloadGuard;
    readonly log: RelayLog;
}

const PERCENT = 100;

/** Reports the wait of new connections and the idle time of the event loop to the guard, and logs when it starts and stops refusing. */
export const startOverloadWatch = ({ guard, log, ...port }: OverloadWatchOptions): void => {
    let last = performance.eventLoopUtilization();
    new InputDelayMeter(port).start(delayMs => {
        const wasRefusing = guard.isRefusing;
        const current = performance.eventLoopUtilization();
        const idleShare = 1 - performance.eventLoopUtilization(current, last).utilization;
        last = current;
        guard.recordSample({ inputDelayMs: delayMs, idleShare });
        if (guard.isRefusing !== wasRefusing) {
            const event = guard.isRefusing ? "callers wait too long" : "callers are taken in time again";
            log.write(event, { delayMs: Math.round(delayMs), idlePercent: Math.round(idleShare * PERCENT) });
        }
    });
};
