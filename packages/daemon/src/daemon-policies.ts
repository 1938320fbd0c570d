import type { Settings } from "@ospreyreel/config";
import {
    type AdmissionPolicy,
    AffinityChoice,
    DeadlineAdmission,
    RandomSource,
    RetryBudget,
    type TargetChoicePolicy,
} from "@ospreyreel/targets";
import { randomInt } from "node:crypto";

/** Factories of a daemon's policies. */
export interface DaemonPolicies {
    readonly createTargetChoicePolicy: () => TargetChoicePolicy;
    readonly createAdmissionPolicy: (cfg: Settings) => AdmissionPolicy;
    readonly createRetryBudget: () => RetryBudget;
}

const SEED_COUNT = 2 ** 31;

/** Policies of a daemon by default. */
export const DEFAULT_POLICIES: DaemonPolicies = {
    createTargetChoicePolicy: () => new AffinityChoice(new RandomSource(randomInt(SEED_COUNT))),
    createAdmissionPolicy: cfg => new DeadlineAdmission({ maxQueued: cfg.limits.maxQueued }),
    createRetryBudget: () => new RetryBudget(),
};
