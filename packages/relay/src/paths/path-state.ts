/** What an instance knows of its path to one start of a target. */
export class PathState {
    /** Whether sends go through peers. */
    isLost = false;
    /** Incarnations of peers that reach the target. */
    readonly reachedBy = new Set<string>();
    /** Monotonic time until which no peer is asked again, in milliseconds. */
    unreachedUntilMs = Number.NEGATIVE_INFINITY;
    /** The question to peers that is open. */
    asking: Promise<boolean> | undefined;
}
