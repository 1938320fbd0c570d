import type { TargetLoads } from "../load/target-loads.js";
import { getAdmissionRoom, MIN_REPORT_WEIGHT } from "../policy/admission-room.js";
import { RejectionWindow } from "../policy/rejection-window.js";
import type { TargetDirectory } from "../targets/target-directory.js";
import type { TargetState } from "../targets/target-state.js";

/** Options of {@link TargetRooms}. */
export interface TargetRoomsOptions {
    readonly directory: Pick<TargetDirectory, "getServing">;
    readonly loads: TargetLoads;
    /** Maximum number of this instance's connections to one target of a service. */
    readonly getConnectionLimit: (service: string) => number;
    /** Number of instances. */
    readonly getInstances: () => number;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
    /** Returns a random number in [0, 1). */
    readonly random: () => number;
}

/** Knows which services have room at their targets: by reports, by this instance's requests and by rejections. */
export class TargetRooms {
    /** Windows of targets that have rejected requests. */
    private readonly windows = new WeakMap<TargetState, RejectionWindow>();

    constructor(private readonly opts: TargetRoomsOptions) {}

    /**
     * Chance with which one more request may be sent beside those that have passed and are not sent yet, 0 to 1. Ends at the first targets
     * with enough room. A service without usable targets has no shortage of room, so its requests are refused as without a gate.
     */
    getChance(service: string, tokens: number, reserved: number): number {
        const nowMs = this.opts.nowMs();
        const limit = this.opts.getConnectionLimit(service);
        const { states } = this.opts.directory.getServing(service);
        const instances = Math.max(1, this.opts.getInstances());
        let free = -reserved;
        let isUsable = false;
        let isShared = false;
        for (const state of states) {
            if (state.health.isUsable(nowMs)) {
                isUsable = true;
                isShared ||= (this.opts.loads.get(state.target)?.weight ?? 0) >= MIN_REPORT_WEIGHT;
                free += this.getFree(state, tokens, limit, nowMs);
                if (free >= (isShared ? instances : 1)) {
                    return 1;
                }
            }
        }
        // All instances see the room that is in reports; if each took it, it would be taken many times.
        return isUsable ? Math.max(0, free) / (isShared ? instances : 1) : 1;
    }

    /** Whether a target has room for one more request that may use so many tokens. */
    hasRoomAt(state: TargetState, tokens: number): boolean {
        const limit = this.opts.getConnectionLimit(state.target.service);
        return this.getFree(state, tokens, limit, this.opts.nowMs()) > 0;
    }

    /** Records that a target rejected a request of this instance as full. */
    recordRejected(state: TargetState): void {
        const window = this.windows.get(state) ?? new RejectionWindow();
        this.windows.set(state, window);
        window.recordRejected(this.opts.nowMs(), state.inFlight, this.opts.random());
    }

    /** Records that a target accepted a request that was sent at a monotonic time. */
    recordAccepted(state: TargetState, sentAtMs: number): void {
        this.windows.get(state)?.recordAccepted(sentAtMs);
    }

    private getFree(state: TargetState, tokens: number, limit: number, nowMs: number): number {
        const { target, inFlight } = state;
        if (inFlight >= limit || state.getWaitMs(nowMs) > 0) {
            return 0;
        }
        const slots = Math.max(1, target.slots);
        const room = getAdmissionRoom({ slots, inFlight, load: this.opts.loads.get(target), tokens });
        const window = this.windows.get(state)?.getFree(nowMs, inFlight, slots) ?? room;
        return Math.min(room, window, limit - inFlight);
    }
}
