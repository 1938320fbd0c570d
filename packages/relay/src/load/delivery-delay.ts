import { BoundedMap } from "../bounded-map.js";

/** Maximum number of senders that are known. */
const MAX_SENDERS = 256;

/** Growth of the least difference of the clocks, in milliseconds per millisecond; more than clocks drift. */
const DRIFT = 0.001;

interface ClockDifference {
    readonly leastMs: number;
    readonly atMs: number;
}

/**
 * Tells by how much messages are later than the fastest ones of their sender. A message that was held up by a paused process or link, this
 * one included, would otherwise make old values look new.
 */
export class DeliveryDelay {
    private readonly differences = new BoundedMap<ClockDifference>(MAX_SENDERS);

    /** Delay of a message in milliseconds, from the sender's monotonic time in it and the time of its arrival here. */
    getDelayMs(sender: string, sentAtMs: number, arrivedAtMs: number): number {
        const differenceMs = arrivedAtMs - sentAtMs;
        const known = this.differences.get(sender);
        const expectedMs = known === undefined
            ? differenceMs
            : known.leastMs + Math.max(0, arrivedAtMs - known.atMs) * DRIFT;
        const leastMs = Math.min(expectedMs, differenceMs);
        this.differences.set(sender, { leastMs, atMs: arrivedAtMs });
        return differenceMs - leastMs;
    }
}
