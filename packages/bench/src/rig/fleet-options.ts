import type { OperatorsDocument, Settings, Target, TargetKind } from "@ospreyreel/config";
import type { Cleanup } from "./cleanup.js";

/** A target to start. */
export interface TargetSpec {
    readonly name: string;
    readonly kind: TargetKind;
    readonly availabilityZone: string;
    /** Requests it serves at once; 8 by default. */
    readonly capacity?: number;
    readonly checksFencing?: boolean;
    /** Further arguments of its process. */
    readonly args?: readonly string[];
}

/** Sections of the settings that an experiment may change; the rest is the rig's. */
export interface SettingsChange {
    readonly fleet?: Partial<Settings["fleet"]>;
    readonly ledger?: Partial<Settings["ledger"]>;
    readonly limits?: Partial<Settings["limits"]>;
    readonly orders?: Partial<Settings["orders"]>;
    /** Longest wait for one call to the key-value service, in milliseconds. */
    readonly kvDeadlineMs?: number;
    readonly listPollMs?: number;
}

/** Size and shape of a fleet. */
export interface FleetOptions {
    /** Instances, spread over the zones in turn; 3 by default. */
    readonly instances?: number;
    /** Availability zones; three by default. */
    readonly zones?: readonly string[];
    readonly region?: string;
    readonly targets: readonly TargetSpec[];
    /** Makes the first document from the started targets; without it none is applied. */
    readonly createDocument?: (targets: readonly Target[]) => OperatorsDocument;
    readonly settings?: SettingsChange;
    /** Sends the connections between instances through proxies, so that the fleet can be partitioned; false by default. */
    readonly withLinks?: boolean;
    /** Lag of the instance list; 0 by default. */
    readonly listLagMs?: number;
    /** What each instance runs in place of the daemon's own entry, with further arguments. */
    readonly daemon?: {
        readonly script: string;
        readonly args?: readonly string[];
        readonly nodeArgs?: readonly string[];
    };
    /** Descriptors that each instance may have open; those of this process by default. */
    readonly maxDescriptors?: number;
    /** Added to the environment of each instance. */
    readonly env?: Readonly<Record<string, string>>;
    /** Stops the fleet when a test is over. */
    readonly cleanup?: Cleanup;
}
