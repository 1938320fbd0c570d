import { TeamShares } from "./team-shares.js";

/** A sample of the instance's load. */
export interface LoadSample {
    /** Time for which new connections wait until they are accepted, in milliseconds. */
    readonly inputDelayMs: number;
    /** Share of the time since the last sample in which the event loop waited for work, 0 to 1. */
    readonly idleShare: number;
    /** Callers' requests that were read while that connection waited. */
    readonly requests: number;
}

/** Options of {@link OverloadGuard}. */
export interface OverloadGuardOptions {
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
    /** Returns a random number in [0, 1). */
    readonly random: () => number;
}

/**
 * Wait of new connections above which requests are refused, in milliseconds; half of the shortest latency objective.
 */
const INPUT_DELAY_THRESHOLD_MS = 100;

/**
 * Share of idle time of the event loop from which waits do not count. What waits is then handled before the loop idles, so
 * the wait comes from other processes on the machine, and to refuse requests would not shorten it.
 */
const MIN_IDLE_SHARE = 0.1;

/**
 * Longest time of the processor for one request, in milliseconds. A wait beyond that for each request in front has another
 * cause, such as other processes on the machine that suspend this one within a turn of its event loop.
 */
const MAX_REQUEST_MS = 50;

/**
 * Maximum change of the refusal level with each sample. After a second at twice the threshold, half of the largest
 * team's requests are refused.
 */
const LEVEL_STEP = 0.1;

/** Refusal probability of the most urgent requests relative to the team's other requests. */
const URGENT_REFUSAL_FACTOR = 0.5;

/** Time after which a retry may succeed, in seconds; the level moves by up to half of its range within it. */
const RETRY_AFTER_S = 1;

/**
 * Decides which requests an overloaded instance refuses, by how long new connections wait while it is busy. Without it all requests
 * wait until their callers have disconnected, and the work for them is lost. A team is refused in proportion to its
 * traffic relative to the largest team's, so that one team cannot starve the others; urgent requests are refused less.
 */
export class OverloadGuard {
    private readonly shares = new TeamShares();
    private level = 0;

    constructor(private readonly opts: OverloadGuardOptions) {}

    /** Whether requests may currently be refused. */
    get isRefusing(): boolean {
        return this.level > 0;
    }

    /** Records a sample; to be called five times a second. */
    recordSample({ inputDelayMs, idleShare, requests }: LoadSample): void {
        const waitMs = idleShare < MIN_IDLE_SHARE ? Math.min(inputDelayMs, requests * MAX_REQUEST_MS) : 0;
        const excess = Math.min(1, waitMs / INPUT_DELAY_THRESHOLD_MS - 1);
        this.level = Math.min(1, Math.max(0, this.level + LEVEL_STEP * excess));
    }

    /**
     * Counts a request. Returns its retry-after time in seconds if it is to be refused, undefined otherwise. Priority 0
     * is the most urgent.
     */
    getRefusal(team: string, priority: number): number | undefined {
        this.shares.record(team, this.opts.nowMs());
        if (!this.isRefusing) {
            return undefined;
        }
        const shareOfLargest = this.shares.getShareOfLargest(team);
        const probability = this.level * shareOfLargest * (priority === 0 ? URGENT_REFUSAL_FACTOR : 1);
        return this.opts.random() < probability ? RETRY_AFTER_S : undefined;
    }
}
