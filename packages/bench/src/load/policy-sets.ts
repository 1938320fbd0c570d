import type { DaemonPolicies } from "@ospreyreel/daemon";
import { LeastInFlight, LengthAdmission, RandomChoice, RandomSource, RetryBudget } from "@ospreyreel/targets";
import { randomInt } from "node:crypto";

/** Names of the sets of policies that are compared. */
export const policySetNames = ["chosen", "least-in-flight", "random-and-length"] as const;

/** A set of policies that is compared. */
export type PolicySetName = typeof policySetNames[number];

const SEEDS = 2 ** 31;
const LONG_QUEUE = 100_000;

const createRandom = (): RandomSource => new RandomSource(randomInt(SEEDS));

const policySets: Readonly<Record<PolicySetName, Partial<DaemonPolicies>>> = {
    chosen: {},
    "least-in-flight": { createTargetChoicePolicy: () => new LeastInFlight(createRandom()) },
    "random-and-length": {
        createTargetChoicePolicy: () => new RandomChoice(createRandom()),
        createAdmissionPolicy: () => new LengthAdmission(LONG_QUEUE),
        createRetryBudget: () => new RetryBudget({ share: 2, maxSaved: LONG_QUEUE }),
    },
};

/** The policies of a set; those it leaves out are the product's. Throws where there is no such set. */
export const getPolicySet = (name: string): Partial<DaemonPolicies> => {
    const found = policySetNames.find(candidate => candidate === name);
    if (found === undefined) {
        throw new RangeError(`there is no set of policies "${name}"`);
    }
    return policySets[found];
};
