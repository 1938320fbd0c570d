import type { BudgetView } from "@ospreyreel/budgets";
import type { CallerGuardView } from "@ospreyreel/peer";
import type { InstanceInfo } from "@ospreyreel/types";
import type { HandoffView } from "../handoff/connection-handoff.js";
import type { TakenConnections } from "../handoff/handoff-port.js";
import type { QuarantineView } from "../quarantine/part-quarantine.js";
import type { TargetState } from "../targets/target-state.js";

/** One target in the state dump. */
export interface TargetView {
    readonly id: string;
    readonly service: string;
    readonly version: string | undefined;
    readonly leaving: boolean;
    readonly inFlight: number;
    /** Sends of this instance that are counted against the target's room. */
    readonly openSends: number;
    readonly errorShare: number;
    /** Mean time to the first byte, in milliseconds. */
    readonly firstByteMs: number | undefined;
    /** Requests a second that it takes from all instances together; undefined where it names no limit. */
    readonly limitPerS: number | undefined;
    /** Time for which it wants nothing from this instance, in milliseconds. */
    readonly pauseMs: number;
    /** Whether this instance sends to it itself, and not through peers. */
    readonly isDirect: boolean;
}

/** State dump of an instance, for operators. */
export interface RelayState {
    readonly self: InstanceInfo;
    readonly isReady: boolean;
    /** Version of the active desired state; 0 before the first one. */
    readonly documentVersion: number;
    readonly kvAvailable: boolean;
    /** Rises each time the KV service comes back from an older copy; 0 where it tells nothing of this. */
    readonly kvEra: number;
    readonly openRequests: number;
    readonly peers: readonly InstanceInfo[];
    readonly targets: readonly TargetView[];
    /** Ids of targets that are gone, which an older copy of the KV service may still announce. */
    readonly removedTargets: readonly string[];
    /** Budgets that this instance owns. */
    readonly budgets: readonly BudgetView[];
    readonly quarantine: QuarantineView;
    /** Number of sends that this instance makes for peers. */
    readonly forwardedSends: number;
    /** Callers' connections that peers serve for this instance. */
    readonly handoff: HandoffView;
    /** What callers hold at the ports, beside the limits on it. */
    readonly callerLimits: {
        readonly callers: CallerGuardView;
        /** Of the ports for readiness, addresses and metrics. */
        readonly statusPorts: readonly CallerGuardView[];
        readonly handedOffHeldBytes: number;
    };
    /** Callers' connections that this instance serves for peers, by instance. */
    readonly takenConnections: TakenConnections;
    /** Versions at which streams that are resumed now may have begun. */
    readonly versions: readonly { readonly service: string; readonly versions: readonly string[]; }[];
    /** Services whose targets break down when they reject requests. */
    readonly brittleServices: readonly string[];
    /** Number of streams whose origins are kept here. */
    readonly knownStreams: number;
}

/** Returns a target's entry in the state dump. */
export const getTargetView = (
    state: TargetState,
    isDirect: boolean,
): TargetView => ({
    id: state.target.id,
    service: state.target.service,
    version: state.target.version,
    leaving: state.target.leaving,
    inFlight: state.inFlight,
    openSends: state.openSends,
    errorShare: state.health.errorShare,
    firstByteMs: state.health.firstByteMs,
    limitPerS: state.limit.perS,
    pauseMs: Math.round(state.getPauseMs(performance.now())),
    isDirect,
});
