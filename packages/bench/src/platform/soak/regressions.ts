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
];
