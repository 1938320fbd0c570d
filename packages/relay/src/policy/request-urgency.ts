/** What the urgency of one send is decided by. */
export interface UrgencyNumbers {
    /** Priority of the team or route; 0 is the most urgent. */
    readonly priority: number;
    /** Whether requests of the same service differ in priority. */
    readonly isMixed: boolean;
    /** Time since the request arrived, in milliseconds. */
    readonly waitedMs: number;
    /** Time within which the response should begin, or be complete where it is no stream, in milliseconds. */
    readonly latencyTargetMs: number;
    /** Whether the send continues a stream whose first events the caller has. */
    readonly isContinued: boolean;
}

/** Decides how urgent a request is to its target; 0 is the most urgent, undefined leaves it to the target. */
export abstract class RequestUrgency {
    /** Urgency of a send. */
    abstract getUrgency(numbers: UrgencyNumbers): number | undefined;
}

/** Leaves the order of requests to the targets. */
export class EqualUrgency extends RequestUrgency {
    override getUrgency(): undefined {
        return undefined;
    }
}

/** Levels between two priorities, so that a request that has waited stays behind the next higher priority. */
const LEVELS_PER_PRIORITY = 2;

/** The least urgent level that targets know. */
const LAST_LEVEL = 9;

/** Share of the time for the first event after which a request moves up one level. */
const LATE_SHARE = 0.5;

/**
 * Orders requests at a target by priority while more urgent and less urgent kinds compete for its slots and memory. A request
 * moves up one level where its stream has begun, so that a long one is not paused for new requests of its own priority, and
 * where half of its time is over.
 */
export class PriorityUrgency extends RequestUrgency {
    override getUrgency(
        { priority, isMixed, waitedMs, latencyTargetMs, isContinued }: UrgencyNumbers,
    ): number | undefined {
        if (!isMixed) {
            return undefined;
        }
        const isRaised = isContinued || waitedMs >= latencyTargetMs * LATE_SHARE;
        const level = Math.max(0, priority) * LEVELS_PER_PRIORITY + (isRaised ? 0 : 1);
        return Math.min(LAST_LEVEL, Math.floor(level));
    }
}
