import type { Address } from "./address.js";
import type { InstanceState } from "./instance-info.js";

/** One instance in the platform's list, which lags behind the actual state. */
export interface ListedInstance {
    readonly instance: string;
    readonly availabilityZone: string;
    readonly peer: Address;
    readonly state: InstanceState;
}

/** One target in the platform's list, which lags behind the actual state. */
export interface ListedTarget {
    /** Name in the operators' document. */
    readonly target: string;
    readonly state: InstanceState;
}

/** The platform's list of live and leaving instances and targets. */
export interface InstanceList {
    readonly instances: readonly ListedInstance[];
    readonly targets: readonly ListedTarget[];
}
