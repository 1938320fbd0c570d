import type { PlatformScenario } from "./play-platform-seed.js";

/** A schedule that found a fault. */
export interface PlatformRegression {
    readonly title: string;
    readonly scenario: PlatformScenario;
}

const PLENTY = 1_000_000;

/** Schedules that found a fault, whole, so that they stay the same when others are drawn from their seeds. */
export const PLATFORM_REGRESSIONS: readonly PlatformRegression[] = [
    {
        // Long streams on connections of callers that kept addresses were accepted late and cut by the exit.
        title: "no request that is accepted after SIGTERM is cut at the end of the stop",
        scenario: {
            seed: 1,
            count: 3,
            callersEach: 40,
            prepaid: PLENTY,
            schedule: [
                { startMs: 1_000, durationMs: 500, fault: { kind: "rollingStop", instances: [0, 1], gapMs: 2_000 } },
            ],
        },
    },
    {
        // The soak had targets say that they leave and then, in the same start, that they are ready.
        title: "a target that left and started again is used while the store is hard to reach",
        scenario: {
            seed: 34,
            count: 4,
            callersEach: 4,
            prepaid: PLENTY,
            schedule: [
                {
                    startMs: 707,
                    durationMs: 1_571,
                    fault: { kind: "cutStore", instances: [1, 2, 3], mode: "dropClientToServer" },
                },
                {
                    startMs: 975,
                    durationMs: 2_767,
                    fault: { kind: "cutStore", instances: [1, 2, 3], mode: "stall" },
                },
                { startMs: 1_612, durationMs: 2_047, fault: { kind: "topUp", tokens: 18_664 } },
                { startMs: 2_040, durationMs: 1_370, fault: { kind: "freeze", instance: 0 } },
                { startMs: 2_523, durationMs: 404, fault: { kind: "targetLeaves", target: 1 } },
                { startMs: 3_532, durationMs: 3_295, fault: { kind: "targetLeaves", target: 0 } },
                { startMs: 3_887, durationMs: 1_681, fault: { kind: "cutStore", instances: [3], mode: "stall" } },
            ],
        },
    },
    {
        // The desired state that was written meanwhile came into force 4.5 s after the store was back: calls after a failure waited for changes.
        title: "a route that was removed while the store came back from an older copy is refused in time",
        scenario: {
            seed: 126,
            count: 4,
            callersEach: 4,
            prepaid: PLENTY,
            schedule: [
                {
                    startMs: 165,
                    durationMs: 3_340,
                    fault: { kind: "cutStore", instances: [3], mode: "dropClientToServer" },
                },
                { startMs: 484, durationMs: 3_342, fault: { kind: "storeOlderCopy" } },
                { startMs: 1_045, durationMs: 1_415, fault: { kind: "targetLeaves", target: 0 } },
                { startMs: 1_672, durationMs: 922, fault: { kind: "stop", instance: 3, gapMs: 6_689 } },
                { startMs: 2_518, durationMs: 1_483, fault: { kind: "cutTarget", target: 2, mode: "cut" } },
                { startMs: 3_260, durationMs: 634, fault: { kind: "storeSilent" } },
            ],
        },
    },
    {
        // All callers start at once: requests reached their instances 0.5 to 0.75 s after they were sent, and were answered 4 s after that.
        title: "a request whose connection is accepted late is answered by its route's time-out",
        scenario: {
            seed: 133,
            count: 5,
            callersEach: 16,
            prepaid: 30_000,
            schedule: [
                { startMs: 578, durationMs: 2_952, fault: { kind: "targetLeaves", target: 1 } },
                { startMs: 658, durationMs: 1_591, fault: { kind: "storeLate", lateMs: 3_000 } },
                { startMs: 1_094, durationMs: 796, fault: { kind: "documents", count: 4, gapMs: 1_000 } },
                {
                    startMs: 1_308,
                    durationMs: 3_522,
                    fault: { kind: "cutTarget", target: 0, mode: "dropClientToServer" },
                },
                { startMs: 2_309, durationMs: 596, fault: { kind: "slowTarget", target: 1, delayMs: 20 } },
                { startMs: 3_553, durationMs: 1_910, fault: { kind: "stop", instance: 3, gapMs: 5_677 } },
                { startMs: 3_822, durationMs: 3_402, fault: { kind: "documents", count: 2, gapMs: 1_000 } },
                { startMs: 4_231, durationMs: 685, fault: { kind: "slowTarget", target: 2, delayMs: 100 } },
            ],
        },
    },
];
