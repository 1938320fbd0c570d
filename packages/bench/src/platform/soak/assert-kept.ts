import type { ExecutionContext } from "ava";
import type { PlatformSeedResult } from "./play-platform-seed.js";

/** Time-out of a test that plays one schedule, in milliseconds; it takes about half a minute. */
export const SCHEDULE_TIMEOUT_MS = 120_000;

/** Asserts that a schedule broke no promise, and logs what was seen. */
export const assertKept = (t: ExecutionContext, { schedule, verdict }: PlatformSeedResult): void => {
    t.true(verdict.ok, JSON.stringify({ violations: verdict.violations, schedule }));
    t.log(schedule.map(entry => entry.fault.kind).join(" + "), JSON.stringify(verdict.figures));
};
