import type { Address } from "./address.js";

/** Whether an instance takes new work. */
export type InstanceState = "live" | "leaving";

/** What one instance tells the others of itself. */
export interface InstanceInfo {
    /** Stable name from the settings. */
    readonly instance: string;
    /** Fresh random id of one start of the instance. */
    readonly incarnation: string;
    readonly availabilityZone: string;
    readonly region: string;
    /** Where callers connect. */
    readonly caller: Address;
    /** Where other instances connect. */
    readonly peer: Address;
    readonly state: InstanceState;
    /** Revision of the operators' document in force; 0 before the first one. */
    readonly configRevision: number;
    /** Processor cores that the instance may use, parts of one included; undefined counts as one. */
    readonly cores?: number;
}
