import type { Target } from "../targets/target.js";

/** Tells whether a target has crashed or only lost a connection. */
export abstract class CrashCheck {
    /** Whether the target accepts no connections any more; false where that is unknown. Does not throw. */
    abstract hasCrashed(target: Target): Promise<boolean>;
}
