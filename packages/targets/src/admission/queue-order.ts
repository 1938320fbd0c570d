/** What the order of a waiting request depends on. */
export interface OrderedRequest {
    /** 0 (first) to 9 (last). */
    readonly priority: number;
    /** Time of the clock by which it must have been served. */
    readonly deadlineAtMs: number;
    /** Time of the clock from which it waits. */
    readonly waitingSinceMs: number;
    /** Whether its caller was refused before and has come back. */
    readonly isReturned: boolean;
}

/** Orders the requests of a queue; may depend on how long each has waited. */
export abstract class QueueOrder {
    /** Rank of a request at a time of the clock; the lowest is admitted first. */
    abstract getRank(req: OrderedRequest, nowMs: number): number;
}
