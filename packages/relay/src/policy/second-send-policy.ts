import { FirstByteTimes } from "./first-byte-times.js";
import { SecondSendSwitch } from "./second-send-switch.js";
import { getBusyShare, getFleetBusyShare, type TargetRoom } from "./target-room.js";
import { WindowCount } from "./window-count.js";

/** Options of {@link SecondSendPolicy}. */
export interface SecondSendPolicyOptions {
    /** Largest share of all sends, above 0. */
    readonly share: number;
    /** Percentile of the times to the first byte after which a second send is made. */
    readonly percentile: number;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
}

/** What a second send that is due is decided by. */
export interface SecondSendNumbers {
    /** Whether this instance neither stops nor is overloaded, and its view is current. */
    readonly isInstanceReady: boolean;
    /** All targets of the service. */
    readonly targets: readonly TargetRoom[];
}

/** Why a second send that is due is not made. */
export type SecondSendDenial =
    | "off"
    | "share"
    | "short_of_capacity"
    | "instance_not_ready"
    | "no_room"
    | "limited"
    | "allowance"
    | "quarantined"
    | "answered";

/** Second sends to one service in the state dump. */
export interface SecondSendView {
    /** Time after which a request with the mean prompt is sent a second time, in milliseconds; undefined while too few times are known. */
    readonly delayMs: number | undefined;
    readonly promptTokens: number;
    /** Times to the first byte that count. */
    readonly samples: number;
    /** Share of the last sends that were second ones. */
    readonly usedShare: number;
    /** Share of the last second sends that won; undefined without any. */
    readonly winShare: number | undefined;
    /** Whether they are off since too few won. */
    readonly isOff: boolean;
}

/** Largest share of second sends that operators may set. */
export const MAX_SECOND_SEND_SHARE = 0.2;

/** Share of the service's capacity up to which there is room for the largest share of second sends beside all others. */
const MAX_BUSY_SHARE = 1 / (1 + MAX_SECOND_SEND_SHARE);

/** Window in which sends are counted, in milliseconds; an instance with a few sends a second reaches its first one at a small share. */
const WINDOW_MS = 60_000;

const PERCENT = 100;

/**
 * Decides which slow requests to one service are sent a second time. It answers late responses of single targets while others have
 * room; a service that is late as a whole gets no further work.
 */
export class SecondSendPolicy {
    private readonly times: FirstByteTimes;
    private readonly breaker: SecondSendSwitch;
    private readonly sends: WindowCount;
    private readonly seconds: WindowCount;

    constructor(private readonly opts: SecondSendPolicyOptions) {
        const { percentile, nowMs } = opts;
        this.times = new FirstByteTimes({ quantile: percentile / PERCENT, nowMs });
        this.breaker = new SecondSendSwitch(nowMs);
        this.sends = new WindowCount(WINDOW_MS, nowMs);
        this.seconds = new WindowCount(WINDOW_MS, nowMs);
    }

    /** State of the decisions. */
    get view(): SecondSendView {
        const { times, breaker, sends, seconds } = this;
        const { promptTokens, samples } = times;
        return {
            delayMs: times.getQuantileMs(promptTokens),
            promptTokens,
            samples,
            usedShare: seconds.total / Math.max(1, sends.total),
            winShare: breaker.winShare,
            isOff: breaker.isOff,
        };
    }

    /** Counts a send; each second send is counted by `recordSecond`, too. */
    recordSend(): void {
        this.sends.add();
    }

    /** Counts a second send. */
    recordSecond(): void {
        this.seconds.add();
    }

    /** Learns a time to the first byte in milliseconds, or the time until a send was cancelled that had none. */
    recordFirstByte(promptTokens: number, ms: number): void {
        this.times.record(promptTokens, ms);
    }

    /** Records whether the response of a second send was used; returns whether second sends are off from now on. */
    recordResult(hasWon: boolean): boolean {
        return this.breaker.record(hasWon);
    }

    /** Time after which a send is slow, in milliseconds; undefined while that is not known. */
    getDelayMs(promptTokens: number): number | undefined {
        return this.times.getQuantileMs(promptTokens);
    }

    /** Decides about a second send that is due; undefined where it may be made. */
    getDenial({ isInstanceReady, targets }: SecondSendNumbers): SecondSendDenial | undefined {
        if (!isInstanceReady) {
            return "instance_not_ready";
        }
        if (this.breaker.isOff) {
            return "off";
        }
        if (!this.isWithinShare) {
            return "share";
        }
        return getFleetBusyShare(targets) > MAX_BUSY_SHARE ? "short_of_capacity" : undefined;
    }

    /** Whether a target has room for a second send with a number of tokens. */
    hasRoom(target: TargetRoom, tokens: number): boolean {
        return getBusyShare(target, tokens) < 1;
    }

    /** Whether one more second send stays within the share of all sends. */
    get isWithinShare(): boolean {
        return this.seconds.total + 1 <= this.opts.share * (this.sends.total + 1);
    }
}
