import type { LogFields } from "../relay-log.js";
import type { RelayRefusal } from "../relay-refusal.js";
import type { RequestClock } from "../request-clock.js";
import type { TargetState } from "../targets/target-state.js";

/** A request before a target is chosen for it. */
export interface GateRequest {
    readonly service: string;
    /** Empty where the request has no team. */
    readonly team: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Maximum number of tokens that it may use. */
    readonly tokens: number;
    /** Monotonic time of its arrival, in milliseconds. */
    readonly arrivedAtMs: number;
    /** Latency objective of its route, in milliseconds. */
    readonly latencyTargetMs: number;
    /** Whether its caller is known to have come back. */
    readonly isReturned: boolean;
    readonly clock: Pick<RequestClock, "leftMs" | "signal">;
}

/** A request that may not wait for a target. */
export interface GateRefusal {
    readonly refusal: RelayRefusal;
    /** What it was decided by, for the log. */
    readonly decidedBy: LogFields;
}

/** A request that may be sent. */
export abstract class GatePass {
    /** Time for which the request waited for room so far, in milliseconds. */
    abstract readonly waitedMs: number;

    /** Whether a target has room as far as is known here. */
    abstract hasRoomAt(state: TargetState): boolean;

    /** Records that a send has begun, which counts by itself from then on. */
    abstract recordSent(): void;

    /** Waits until there is room and a target for another send; returns whether there is. Does not throw. */
    abstract waitAgain(hasTarget: () => boolean): Promise<boolean>;

    /** Time after which the caller may come back if it is refused, in seconds; undefined while the service has room. */
    abstract getRetryAfterS(): number | undefined;

    /** Ends the request; to be called once it needs no more sends. */
    abstract release(): void;
}

/** Admits requests to targets, at once or after a wait. */
export abstract class RequestGate {
    /** Lets a request pass, now or later, or refuses it. The promise is not rejected. */
    abstract enter(req: GateRequest): GatePass | Promise<GatePass | GateRefusal>;

    /** Refuses the requests that wait, and those that would have to. */
    abstract close(): void;
}
