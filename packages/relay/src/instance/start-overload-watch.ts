import type { OverloadGuard } from "../policy/overload-guard.js";
import type { RelayLog } from "../relay-log.js";
import { InputDelayMeter, type InputDelayMeterOptions } from "./input-delay-meter.js";

/** Options of {@link startOverloadWatch}. */
export interface OverloadWatchOptions extends InputDelayMeterOptions {
    readonly guard: OverloadGuard;
    readonly log: RelayLog;
}

/** Reports the wait of new connections to the guard, and logs when it starts and stops refusing. */
export const startOverloadWatch = ({ guard, log, ...port }: OverloadWatchOptions): void => {
    new InputDelayMeter(port).start(delayMs => {
        const wasRefusing = guard.isRefusing;
        guard.recordInputDelay(delayMs);
        if (guard.isRefusing !== wasRefusing) {
            const event = guard.isRefusing ? "callers wait too long" : "callers are taken in time again";
            log.write(event, { delayMs: Math.round(delayMs) });
        }
    });
};
