import { HoldTimes } from "../load/hold-times.js";
import type { LoadSharing } from "../load/load-sharing.js";
import { CombinedSendObserver, type SendObserver } from "../load/send-observer.js";
import { TargetSpeeds } from "../load/target-speeds.js";
import { ReportSelector, type ReportSelectorOptions } from "../targets/report-selector.js";

/** Options of {@link ReportPlacing}. */
export interface ReportPlacingOptions
    extends Pick<ReportSelectorOptions, "hasIdleConnection" | "getInstances" | "availabilityZone" | "log" | "count"> {
    readonly sharing: LoadSharing;
}

/** What selects targets by reports, with what it learns from this instance's sends. */
export class ReportPlacing {
    readonly selector: ReportSelector;
    readonly sends: SendObserver;

    constructor(opts: ReportPlacingOptions) {
        const nowMs = (): number => performance.now();
        const speeds = new TargetSpeeds({ loads: opts.sharing.loads, nowMs });
        const holds = new HoldTimes(nowMs);
        this.sends = new CombinedSendObserver([opts.sharing.sends, speeds, holds]);
        this.selector = new ReportSelector({
            ...opts,
            loads: opts.sharing.loads,
            getSpeed: target => speeds.get(target),
            getHoldMs: service => holds.getMeanMs(service),
            random: Math.random,
            nowMs,
        });
    }
}
