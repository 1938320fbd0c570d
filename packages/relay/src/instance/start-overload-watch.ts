import type { OverloadGuard } from "../policy/overload-guard.js";
import type { RelayLog } from "../relay-log.js";
import { InputDelayMeter, type InputDelayMeterOptions } from "./input-delay-meter.js";

/** What a watch needs. */
export interface OverloadWatchOptions extends InputDelayMeterOptions {
    readonly guard: OverloadGuard;
    readonly log: RelayLog;
}

/** Tells the guard how long new connections wait, and logs when it begins and ends to refuse. */
export const startOverloadWatch = ({ guard, log, ...port }: OverloadWatchOptions): void => {
    new InputDelayMeter(port).start(delayMs => {
        const wasRefusing = guard.isRefusing;
        guard.noteInputDelay(delayMs);
        if (guard.isRefusing !== wasRefusing) {
            const event = guard.isRefusing ? "callers wait too long" : "callers are taken in time again";
            log.write(event, { delayMs: Math.round(delayMs) });
        }
    });
};
