import type { KeyLocator, RequestRegistry } from "@ospreyreel/claims";
import type { ConfigStore } from "@ospreyreel/config";
import type { EtcdKvClient } from "@ospreyreel/kv";
import type { Ledger } from "@ospreyreel/ledger";
import type { TcpPeerHub } from "@ospreyreel/peer";
import type { CallerServer } from "@ospreyreel/router";
import type { AdmissionGate, LoadPoller, TargetClient, TargetPool } from "@ospreyreel/targets";
import type { Counters } from "@ospreyreel/telemetry";
import type { CallerRoutes } from "./caller-routes.js";
import type { CreatedOrderReconciler } from "./create-order-reconciler.js";
import type { GaugeReporter } from "./gauge-reporter.js";
import type { InstanceListPoller } from "./instance-list-poller.js";
import type { OperatorServer } from "./operator-server.js";

/** The components of a daemon, one of each. */
export interface DaemonComponents {
    readonly counters: Counters;
    readonly kv: EtcdKvClient;
    readonly hub: TcpPeerHub;
    readonly config: ConfigStore;
    readonly ledger: Ledger;
    readonly registry: RequestRegistry;
    readonly locator: KeyLocator;
    readonly pool: TargetPool;
    readonly admission: AdmissionGate;
    readonly loads: LoadPoller;
    readonly orders: CreatedOrderReconciler;
    readonly list: InstanceListPoller;
    readonly client: TargetClient;
    readonly callers: CallerServer;
    readonly routes: CallerRoutes;
    readonly operators: OperatorServer;
    readonly gauges: GaugeReporter;
}
