import type { StopWindow } from "../policy/stop-window.js";

/** The instance through which a caller's connection comes that it does not serve itself. */
export interface ConnectionOrigin {
    /** Version of its desired state, by which its callers' requests are decided as long as it is kept. */
    readonly minVersion: number;
    /** Whether it leaves, so that its connections are closed after their requests. */
    readonly isLeaving: boolean;
    /** Which requests are accepted until it ends; undefined where it is not stopping. */
    readonly stopWindow: StopWindow | undefined;
    /** Counts a request that was read. */
    recordRequest(): void;
}

/** A connection that a callers' port serves. */
export interface AcceptedConnection {
    /** Time since the end of its last request, in milliseconds; 0 while one is open. */
    readonly idleMs: number;
}
