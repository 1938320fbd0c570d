import { BoundedMap } from "../bounded-map.js";
import type { Target } from "../targets/target.js";
import { type ObservedSend, SendObserver } from "./send-observer.js";

/** Maximum number of services. */
const MAX_SERVICES = 256;

/** Mean time of a service whose sends have not ended yet, in milliseconds: that of a short stream. */
const DEFAULT_HOLD_MS = 500;

/** Weight of the newest send in the mean. */
const NEWEST_WEIGHT = 0.05;

/** Mean time for which this instance's sends are open at the targets of a service. */
export class HoldTimes extends SendObserver {
    private readonly means = new BoundedMap<number>(MAX_SERVICES);

    constructor(private readonly nowMs: () => number) {
        super();
    }

    /** Mean time in milliseconds; a usual one before the first send has ended. */
    getMeanMs(service: string): number {
        return this.means.get(service) ?? DEFAULT_HOLD_MS;
    }

    override begin({ service }: Target): ObservedSend {
        const startedAtMs = this.nowMs();
        let isAnswered = false;
        return {
            recordOutcome: ({ kind }) => {
                isAnswered = kind === "answer";
            },
            recordEvents: () => undefined,
            end: () => {
                if (isAnswered) {
                    isAnswered = false;
                    const heldMs = this.nowMs() - startedAtMs;
                    const before = this.means.get(service) ?? heldMs;
                    this.means.set(service, before + NEWEST_WEIGHT * (heldMs - before));
                }
            },
        };
    }
}
