import type { BudgetView } from "@ospreyreel/budgets";
import type { CallerGuardView } from "@ospreyreel/peer";
import type { InstanceInfo } from "@ospreyreel/types";
import type { GateView } from "../admission/service-gate.js";
import type { HandoffView } from "../handoff/connection-handoff.js";
import type { TakenConnections } from "../handoff/handoff-port.js";
import type { SecondSends } from "../hedging/second-sends.js";
import type { LoadSharingView } from "../load/load-sharing.js";
import type { TargetLoad } from "../load/target-loads.js";
import type { QuarantineView } from "../quarantine/part-quarantine.js";
import type { ServicePlacementView } from "../targets/report-selector.js";
import type { TargetState } from "../targets/target-state.js";

/** One target in the state dump. */
export interface TargetView {
    readonly id: string;
    readonly service: string;
    readonly version: string | undefined;
    readonly region: string;
    readonly leaving: boolean;
    readonly inFlight: number;
    /** Sends of this instance that are counted against the target's room. */
    readonly openSends: number;
    readonly errorShare: number;
    /** Mean time to the first byte, in milliseconds. */
    readonly firstByteMs: number | undefined;
    /** Requests a second that it takes from all instances together; undefined where it names no limit. */
    readonly limitPerS: number | undefined;
    /** Time for which it is cold and takes few requests a second, in milliseconds; 0 where it is not. */
    readonly coldMs: number;
    /** Time for which it wants nothing from this instance, in milliseconds. */
    readonly pauseMs: number;
    /** Whether this instance sends to it itself, and not through peers. */
    readonly isDirect: boolean;
    /** Its load over all instances; undefined where no report of it counts. */
    readonly load: TargetLoad | undefined;
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
    /** Earliest era in which budgets without a record can have been used; undefined where it was not needed here yet. */
    readonly budgetsFirstEra: number | undefined;
    readonly openRequests: number;
    readonly peers: readonly InstanceInfo[];
    readonly targets: readonly TargetView[];
    /** Reading of the targets' reports; undefined where none are read. */
    readonly targetReports: LoadSharingView | undefined;
    /** Services whose targets are selected by reports. */
    readonly placementByReports: readonly ServicePlacementView[];
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
    /** Requests that wait for targets, by service; empty where none may wait. */
    readonly waiting: readonly GateView[];
    /** Services whose targets break down when they reject requests. */
    readonly brittleServices: readonly string[];
    /** Second sends of slow requests, by service; empty where they are off. */
    readonly secondSends: SecondSends["view"];
    /** Number of streams whose origins are kept here. */
    readonly knownStreams: number;
    /** Availability zones to whose targets nothing is sent. */
    readonly evacuatedZones: readonly string[];
}

/** Returns a target's entry in the state dump. */
export const getTargetView = (
    state: TargetState,
    { isDirect, load, coldMs, region }: Pick<TargetView, "isDirect" | "load" | "coldMs" | "region">,
): TargetView => ({
    id: state.target.id,
    service: state.target.service,
    version: state.target.version,
    region,
    leaving: state.target.leaving,
    inFlight: state.inFlight,
    openSends: state.openSends,
    errorShare: state.health.errorShare,
    firstByteMs: state.health.firstByteMs,
    limitPerS: state.limit.perS,
    coldMs: Math.round(coldMs),
    pauseMs: Math.round(state.getPauseMs(performance.now())),
    isDirect,
    load,
});
