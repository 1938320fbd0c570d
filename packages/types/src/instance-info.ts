import type { Address } from "./address.js";

/** Whether an instance or target accepts new work. */
export type InstanceState = "live" | "leaving";

/** Description of itself that an instance sends to the others. */
export interface InstanceInfo {
    /** Stable name from the settings. */
    readonly instance: string;
    /** Random id, new at each start of the instance. */
    readonly incarnation: string;
    readonly availabilityZone: string;
    readonly region: string;
    /** Where callers connect. */
    readonly caller: Address;
    /** Where other instances connect. */
    readonly peer: Address;
    readonly state: InstanceState;
    /** Revision of the active operators' document; 0 before the first one. */
    readonly configRevision: number;
    /** Processor cores that the instance may use, possibly fractional; undefined counts as one. */
    readonly cores?: number;
}
