import type { RequestRegistry } from "@ospreyreel/claims";
import type { ConfigStore } from "@ospreyreel/config";
import type { Ledger, LedgerDump } from "@ospreyreel/ledger";
import type { PeerHub } from "@ospreyreel/peer";
import type { AdmissionGate, OrderLease, TargetPool } from "@ospreyreel/targets";
import type { Counters } from "@ospreyreel/telemetry";
import type { InstanceInfo } from "@ospreyreel/types";
import type { ProcessFigures, ProcessMeter } from "./process-meter.js";

/** Sources of the state dump. */
export interface StateDumpOptions {
    readonly meter: ProcessMeter;
    readonly hub: PeerHub;
    readonly config: ConfigStore;
    readonly ledger: Ledger;
    readonly pool: TargetPool;
    readonly admission: AdmissionGate;
    readonly registry: RequestRegistry;
    readonly counters: Counters;
    readonly orders: OrderLease;
}

/** State of one process; docs/reading-a-dump.md explains each member. Contains no keys and no access tokens. */
export interface StateDump extends ReturnType<Counters["snapshot"]> {
    readonly atMs: number;
    readonly process: ProcessFigures;
    /** Revision of the active document; undefined where there is none. */
    readonly revision: number | undefined;
    readonly self: InstanceInfo;
    readonly peers: readonly InstanceInfo[];
    readonly ledger: LedgerDump;
    readonly targets: readonly unknown[];
    /** Whether this instance holds the lease for orders to engines. */
    readonly orderLease: OrderLease["held"];
    /** Number of requests that wait for a target, by offering. */
    readonly queues: Readonly<Record<string, number>>;
    readonly requestsRunning: number;
}

/** Collects the state dump. */
export const getStateDump = (opts: StateDumpOptions): StateDump => ({
    atMs: Date.now(),
    process: opts.meter.read(),
    revision: opts.config.current()?.revision,
    self: opts.hub.self(),
    peers: opts.hub.peers(),
    ledger: opts.ledger.getDump(),
    targets: opts.pool.dump(),
    orderLease: opts.orders.held,
    queues: opts.admission.getQueueLengths(),
    requestsRunning: opts.registry.running,
    ...opts.counters.snapshot(),
});
