import type { RelayRequest } from "../relay-request.js";
import type { TargetOutcome } from "../targets/target-port.js";
import { getStartKey, type Target } from "../targets/target.js";
import { type ObservedSend, SendObserver } from "./send-observer.js";

/** Difference that this instance's sends make to a report. */
export interface OwnChange {
    readonly requests: number;
    readonly tokens: number;
}

interface OwnSend {
    readonly startedAtMs: number;
    readonly tokens: number;
    /** Undefined while it is open. */
    endedAtMs: number | undefined;
}

interface TargetSends {
    readonly sends: OwnSend[];
    fullAtMs: number;
}

/** Time for which ended sends are kept, in milliseconds; older reports count for nothing. */
const KEPT_MS = 3_500;

/** Maximum number of targets whose sends are kept beside those with open ones. */
const MAX_TARGETS = 4_096;

const NO_CHANGE: OwnChange = { requests: 0, tokens: 0 };

/** Maximum number of tokens that a request holds at a target. */
export const getHeldTokens = ({ generation }: RelayRequest): number =>
    generation === undefined ? 0 : generation.promptTokens + generation.maxOutputTokens;

/** This instance's sends by target, as far as they may be missing in reports. */
export class OwnSends extends SendObserver {
    private readonly targets = new Map<string, TargetSends>();

    constructor(private readonly nowMs: () => number) {
        super();
    }

    override begin(target: Target, req: RelayRequest): ObservedSend {
        const known = this.getTarget(target);
        const send: OwnSend = { startedAtMs: this.nowMs(), tokens: getHeldTokens(req), endedAtMs: undefined };
        this.removeOld(known);
        known.sends.push(send);
        return {
            recordOutcome: (outcome: TargetOutcome) => {
                if (outcome.kind === "not_run" && outcome.reason === "full") {
                    known.fullAtMs = this.nowMs();
                }
            },
            recordEvents: () => undefined,
            end: () => {
                send.endedAtMs ??= this.nowMs();
            },
        };
    }

    /** Sum of the sends that began after a monotonic time and are open, less those that ended since and began before it. */
    getChangeSince(target: Target, atMs: number): OwnChange {
        const known = this.targets.get(getStartKey(target));
        if (known === undefined) {
            return NO_CHANGE;
        }
        let requests = 0;
        let tokens = 0;
        for (const send of known.sends) {
            const isNew = send.startedAtMs > atMs;
            const hasEnded = send.endedAtMs !== undefined;
            if (isNew && !hasEnded) {
                requests += 1;
                tokens += send.tokens;
            }
            else if (!isNew && send.endedAtMs !== undefined && send.endedAtMs > atMs) {
                requests -= 1;
                tokens -= send.tokens;
            }
        }
        return { requests, tokens };
    }

    /** Monotonic time of the last rejection for want of room, in milliseconds; negative infinity where there was none. */
    getFullAtMs(target: Target): number {
        return this.targets.get(getStartKey(target))?.fullAtMs ?? Number.NEGATIVE_INFINITY;
    }

    private getTarget(target: Target): TargetSends {
        const key = getStartKey(target);
        const known = this.targets.get(key) ?? { sends: [], fullAtMs: Number.NEGATIVE_INFINITY };
        // The target that was sent to the longest ago is the first one.
        this.targets.delete(key);
        this.targets.set(key, known);
        if (this.targets.size > MAX_TARGETS) {
            const [oldest] = this.targets.keys();
            this.targets.delete(oldest ?? key);
        }
        return known;
    }

    private removeOld({ sends }: TargetSends): void {
        const horizonMs = this.nowMs() - KEPT_MS;
        const kept = sends.filter(({ endedAtMs }) => endedAtMs === undefined || endedAtMs > horizonMs);
        sends.splice(0, sends.length, ...kept);
    }
}
