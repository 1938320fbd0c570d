import type { PeerHub } from "@ospreyreel/peer";
import type { SendPermits } from "../limits/send-permits.js";
import type { TargetLoads } from "../load/target-loads.js";
import type { RelayLog } from "../relay-log.js";
import type { TargetDirectory } from "../targets/target-directory.js";
import { FleetTeamDemand } from "./fleet-team-demand.js";
import { RejectionRecorder } from "./rejection-recorder.js";
import { TargetRooms } from "./target-rooms.js";
import { WaitingGate } from "./waiting-gate.js";

/** Options of {@link Waiting}. */
export interface WaitingOptions {
    readonly hub: PeerHub;
    readonly directory: TargetDirectory;
    readonly loads: TargetLoads;
    /** Longest wait of a request, in milliseconds. */
    readonly maxMs: number;
    /** Maximum number of this instance's connections to one target of a service. */
    readonly getConnectionLimit: (service: string) => number;
    /** Number of instances. */
    readonly getInstances: () => number;
    /** Share of the fleet that is in contact with this instance, itself included; 0 to 1. */
    readonly getReachableShare: () => number;
    readonly log: RelayLog;
    /** Adds to a counter. */
    readonly count: (name: string, amount?: number) => void;
}

/** What lets the requests of one instance wait for targets with room. */
export class Waiting {
    readonly demand: FleetTeamDemand;
    readonly gate: WaitingGate;
    /** Observes the outcomes of all sends. */
    readonly permits: readonly SendPermits[];

    constructor(opts: WaitingOptions) {
        const common = { ...opts, nowMs: () => performance.now(), random: Math.random };
        const rooms = new TargetRooms(common);
        this.demand = new FleetTeamDemand(common);
        this.gate = new WaitingGate({ ...common, rooms, demand: this.demand });
        this.permits = [new RejectionRecorder(rooms, service => this.gate.drain(service))];
    }
}
