import { TeamShares } from "./team-shares.js";

/** What a guard needs. */
export interface OverloadGuardOptions {
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
    /** A number from 0 up to but without 1. */
    readonly random: () => number;
}

/** Wait of new connections above which requests are refused, in milliseconds; half of the shortest objective of the users' requests. */
const TARGET_DELAY_MS = 100;

/** How fast the level moves with each look: a second at twice the target refuses half of the largest team's requests. */
const STEP = 0.1;

/** Part of what others of the same team are refused that the most urgent requests are. */
const URGENT_SHARE = 0.5;

/** When a repeat may be served, in seconds; the level moves from end to end in less. */
const RETRY_AFTER_S = 1;

/**
 * Decides which requests an instance takes that has more to do than its processor can, told by how long new
 * connections wait. Without it all wait alike, until their callers have left and what is done for them is lost. Teams are
 * refused by what they send beside the largest, so that one team does not starve the others, and urgent requests less.
 */
export class OverloadGuard {
    private readonly shares = new TeamShares();
    private level = 0;

    constructor(private readonly opts: OverloadGuardOptions) {}

    /** Whether requests may be refused now. */
    get isRefusing(): boolean {
        return this.level > 0;
    }

    /** Takes how long new connections wait until they are taken, in milliseconds; five times a second. */
    noteInputDelay(delayMs: number): void {
        const beyond = Math.min(1, delayMs / TARGET_DELAY_MS - 1);
        this.level = Math.min(1, Math.max(0, this.level + STEP * beyond));
    }

    /** Counts a request; returns when to come back, in seconds, where it is to be refused. Priority 0 is the most urgent. */
    getRefusal(team: string, priority: number): number | undefined {
        this.shares.note(team, this.opts.nowMs());
        if (!this.isRefusing) {
            return undefined;
        }
        const besideLargest = this.shares.getBesideLargest(team);
        const refused = this.level * besideLargest * (priority === 0 ? URGENT_SHARE : 1);
        return this.opts.random() < refused ? RETRY_AFTER_S : undefined;
    }
}
