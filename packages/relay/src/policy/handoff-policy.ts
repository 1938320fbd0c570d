/** Load of an instance in one interval. */
export interface HandoffSample {
    /** Share of the interval in which the event loop waited for work, 0 to 1. */
    readonly idleShare: number;
    /** Callers' requests that this instance read itself. */
    readonly ownRequests: number;
    /** Requests that peers served on connections of this instance's callers. */
    readonly handedOff: number;
    /** Length of the interval, in milliseconds. */
    readonly intervalMs: number;
}

/** Mean idle share below which an instance hands new connections off: its callers' requests begin to queue. */
const BUSY_BELOW_IDLE_SHARE = 0.25;

/** Mean idle share from which an instance serves further callers of others, and below which it takes no more of those it serves. */
const HELP_FROM_IDLE_SHARE = 0.5;
const HELP_UNTIL_IDLE_SHARE = 0.2;

/** Weight of the newest sample in the mean idle share, which follows a change within half a second. */
const IDLE_WEIGHT = 0.4;

/** Requests a second below which a busy event loop is not due to callers. */
const MIN_REQUESTS_PER_S = 10;

/** Share of the rate at which an instance was busy from which it keeps its callers' connections again. */
const KEEP_BELOW_RATE_SHARE = 0.5;

/** Shortest time for which connections are handed off, in milliseconds; callers come in bursts of some seconds. */
const MIN_HANDOFF_MS = 3_000;

/** Weight of the newest sample in the request rate; the rate follows a change within about a second. */
const RATE_WEIGHT = 0.2;

const MS_PER_S = 1_000;

/**
 * Decides when an instance hands its callers' connections off to a peer, and when it serves those of others. Answers the load pattern of one team whose callers
 * all use one small instance while the rest of the fleet is idle.
 */
export class HandoffPolicy {
    private idleShare = 1;
    private ratePerS = 0;
    /** Request rate at which the instance was busy; undefined while it keeps its connections. */
    private busyRatePerS: number | undefined;
    private handoffMs = 0;

    /** Whether new connections are to be handed off. */
    get isHandingOff(): boolean {
        return this.busyRatePerS !== undefined;
    }

    /** Whether this instance serves callers of another one; one that it serves already is given up later. */
    mayHelp(isHelping: boolean): boolean {
        return !this.isHandingOff && this.idleShare >= (isHelping ? HELP_UNTIL_IDLE_SHARE : HELP_FROM_IDLE_SHARE);
    }

    /** Records the load since the last sample. */
    recordSample({ idleShare, ownRequests, handedOff, intervalMs }: HandoffSample): void {
        const currentPerS = (ownRequests + handedOff) * MS_PER_S / intervalMs;
        this.ratePerS += RATE_WEIGHT * (currentPerS - this.ratePerS);
        this.idleShare += IDLE_WEIGHT * (idleShare - this.idleShare);
        if (this.idleShare < BUSY_BELOW_IDLE_SHARE && currentPerS >= MIN_REQUESTS_PER_S) {
            this.busyRatePerS ??= currentPerS;
            this.ratePerS = Math.max(this.ratePerS, currentPerS);
            this.handoffMs = 0;
            return;
        }
        if (this.busyRatePerS === undefined) {
            return;
        }
        this.handoffMs += intervalMs;
        if (this.handoffMs >= MIN_HANDOFF_MS && this.ratePerS < KEEP_BELOW_RATE_SHARE * this.busyRatePerS) {
            this.busyRatePerS = undefined;
        }
    }
}
