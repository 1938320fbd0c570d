import { TargetCold } from "../limits/target-cold.js";
import { TargetLimit } from "../limits/target-limit.js";
import { TargetHealth } from "./target-health.js";
import type { Target } from "./target.js";

/** A target with this instance's state of it. */
export class TargetState {
    /** This instance's requests in flight at the target. */
    inFlight = 0;
    readonly health = new TargetHealth();
    readonly limit: TargetLimit;
    readonly cold: TargetCold;

    /** This instance's sends that have acquired room at the target, through peers or not. */
    openSends = 0;
    private pausedUntilMs: number;
    private noRoomUntilMs: number;

    /** `earlier` is what was known of the same start before its announcement was removed. */
    constructor(public target: Target, earlier?: TargetState) {
        this.limit = earlier?.limit ?? new TargetLimit();
        this.cold = earlier?.cold ?? new TargetCold();
        this.pausedUntilMs = earlier?.pausedUntilMs ?? Number.NEGATIVE_INFINITY;
        this.noRoomUntilMs = earlier?.noRoomUntilMs ?? Number.NEGATIVE_INFINITY;
    }

    /** Whether the target may get a request now; `nowMs` is a monotonic time. */
    isAccepting(nowMs: number): boolean {
        return !this.target.leaving && this.getPauseMs(nowMs) === 0;
    }

    /** Keeps requests of this instance away from the target until a monotonic time, in milliseconds. */
    pause(untilMs: number): void {
        this.pausedUntilMs = Math.max(this.pausedUntilMs, untilMs);
    }

    /** Time for which the target wants nothing from this instance, in milliseconds; 0 where it does. */
    getPauseMs(nowMs: number): number {
        return Math.max(0, this.pausedUntilMs - nowMs);
    }

    /** Keeps requests away until a monotonic time in milliseconds, since the target has no room for them. */
    waitForRoom(untilMs: number): void {
        this.noRoomUntilMs = untilMs;
    }

    /** Time until the target may get a request by its pause, its limit and its room, in milliseconds; 0 where it may now. */
    getWaitMs(nowMs: number): number {
        return Math.max(this.limit.getWaitMs(nowMs), this.getPauseMs(nowMs), this.noRoomUntilMs - nowMs);
    }

    /** Marks the target as leaving, also for requests that have selected it and are not sent yet. */
    markLeaving(): void {
        this.target = { ...this.target, leaving: true };
    }
}
