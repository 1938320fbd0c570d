import { WindowCount } from "./window-count.js";

/** Limits of retries to one service, for the whole fleet. */
export interface RetryAllowanceOptions {
    /** Retries allowed for each request. */
    readonly ratio: number;
    /** Retries allowed in a window regardless of the traffic, shared by all instances. */
    readonly slack: number;
    /** Length of the sliding window, in milliseconds. */
    readonly windowMs: number;
    /** Number of instances that share the slack. */
    readonly getInstances: () => number;
    /** Monotonic clock, in milliseconds. */
    readonly now?: () => number;
}

/** Used share of the fleet's limit, since instances see the traffic and each other with a delay. */
const SAFETY_FACTOR = 0.8;

/** Share of the limit up to which second sends are acquired; the rest is kept for retries of failed requests. */
const SECOND_SEND_SHARE = 0.5;

/** Counts requests and retries of one service in a sliding window. */
export class RetryAllowance {
    private readonly requests: WindowCount;
    /** Retries of failed requests, and second sends of slow ones. */
    private readonly retries: WindowCount;

    constructor(private readonly opts: RetryAllowanceOptions) {
        const { windowMs, now = () => performance.now() } = opts;
        this.requests = new WindowCount(windowMs, now);
        this.retries = new WindowCount(windowMs, now);
    }

    /** Counts a caller's request. */
    recordRequest(): void {
        this.requests.add();
    }

    /** Acquires one retry; returns false where the window's retries are used up. */
    tryAcquire(): boolean {
        return this.tryAcquireWithin(1);
    }

    /** Acquires a second send of a request whose first one is slow; returns false where half of the window's retries are used. */
    tryAcquireSecond(): boolean {
        return this.tryAcquireWithin(SECOND_SEND_SHARE);
    }

    private tryAcquireWithin(share: number): boolean {
        const { ratio, slack, getInstances } = this.opts;
        const allowed = SAFETY_FACTOR * (ratio * this.requests.total + slack / Math.max(1, getInstances()));
        if (this.retries.total + 1 > share * allowed) {
            return false;
        }
        this.retries.add();
        return true;
    }
}
