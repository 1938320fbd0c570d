import { TeamShares } from "./team-shares.js";

/** What a guard needs. */
export interface OverloadGuardOptions {
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
    /** A number from 0 up to but without 1. */
    readonly random: () => number;
}

/**
 * Share of the processor time above which requests are refused. Bursts of some hundred milliseconds still fit; the calm
 * days of the users' sites stay below 0.82, and a processor that is used up shows 1 and more.
 */
const TARGET_SHARE = 0.95;

/** How fast the level follows: 0.2 beyond the target for half a second refuse all of the largest team. */
const GAIN = 1;

/** Part of what others of the same team are refused that the most urgent requests are. */
const URGENT_SHARE = 0.5;

/** When a repeat may be served, in seconds; the level moves from end to end in less. */
const RETRY_AFTER_S = 1;

/**
 * Decides which requests an instance takes that has more to do than its processor can. Without it all wait alike, until
 * their callers have left and what is done for them is lost. Teams are refused by what they send beside the largest, so
 * that one team does not starve the others, and urgent requests less.
 */
export class OverloadGuard {
    private readonly shares = new TeamShares();
    private level = 0;

    constructor(private readonly opts: OverloadGuardOptions) {}

    /** Whether requests may be refused now. */
    get isRefusing(): boolean {
        return this.level > 0;
    }

    /** Takes a look at the processor; `usedShare` is 1 where all that may be used is used. About ten looks a second. */
    noteUsedShare(usedShare: number): void {
        this.level = Math.min(1, Math.max(0, this.level + GAIN * (usedShare - TARGET_SHARE)));
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
