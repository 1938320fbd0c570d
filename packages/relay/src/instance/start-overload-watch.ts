import type { OverloadGuard } from "../policy/overload-guard.js";
import type { RelayLog } from "../relay-log.js";
import { ProcessorMeter } from "./processor-meter.js";

/** What a watch needs. */
export interface OverloadWatchOptions {
    /** Cores that this process may use, parts of one included. */
    readonly cores: number;
    readonly guard: OverloadGuard;
    readonly log: RelayLog;
}

/** Tells the guard how much of the processor is used, and logs when it begins and ends to refuse. */
export const startOverloadWatch = ({ cores, guard, log }: OverloadWatchOptions): void => {
    new ProcessorMeter({ cores }).start(usedShare => {
        const wasRefusing = guard.isRefusing;
        guard.noteUsedShare(usedShare);
        if (guard.isRefusing !== wasRefusing) {
            log.write(guard.isRefusing ? "processor used up" : "processor free again", { usedShare });
        }
    });
};
