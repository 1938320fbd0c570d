import { KeyLocator, RequestRegistry } from "@ospreyreel/claims";
import { ConfigStore, createOperatorApi, type Settings } from "@ospreyreel/config";
import { readConsoleFiles } from "@ospreyreel/console";
import { EtcdKvClient } from "@ospreyreel/kv";
import { createTcpPeerHub } from "@ospreyreel/peer";
import {
    type CallerServer,
    EngineAttempt,
    Forwarder,
    RequestCoordinator,
    RequestRunner,
    SealedStreamReader,
    ServiceAttempt,
    TargetGate,
} from "@ospreyreel/router";
import { AdmissionGate, LoadPoller, TargetClient, TargetPool } from "@ospreyreel/targets";
import { type Counters, createLog } from "@ospreyreel/telemetry";
import type { Address, InstanceInfo } from "@ospreyreel/types";
import { randomUUID } from "node:crypto";
import { CallerRoutes } from "./caller-routes.js";
import { createAddressBook, createLedger } from "./create-ledger.js";
import { createOrderReconciler } from "./create-order-reconciler.js";
import type { DaemonComponents } from "./daemon-components.js";
import type { DaemonPolicies } from "./daemon-policies.js";
import { GaugeReporter } from "./gauge-reporter.js";
import { InstanceListPoller } from "./instance-list-poller.js";
import { OperatorServer } from "./operator-server.js";
import { ProcessMeter } from "./process-meter.js";
import { getStateDump } from "./state-dump.js";

const getInstanceInfo = (cfg: Settings, caller: Address): InstanceInfo => ({
    instance: cfg.instance,
    incarnation: randomUUID(),
    availabilityZone: cfg.availabilityZone,
    region: cfg.region,
    caller,
    peer: { host: cfg.peer.host, port: cfg.peer.port },
    state: "live",
    configRevision: 0,
});

/** Options of {@link createComponents}. */
export interface CreateComponentsOptions {
    readonly cfg: Settings;
    readonly counters: Counters;
    readonly callers: CallerServer;
    readonly caller: Address;
    readonly policies: DaemonPolicies;
}

/** Creates and wires all components; only the peer port listens. Throws if it can't listen on that port. */
export const createComponents = async (opts: CreateComponentsOptions): Promise<DaemonComponents> => {
    const { cfg, counters, callers, caller, policies } = opts;
    const kv = new EtcdKvClient({ endpoints: [...cfg.kv.endpoints], deadlineMs: cfg.kv.deadlineMs, counters });
    const hub = await createTcpPeerHub({
        self: getInstanceInfo(cfg, caller),
        listen: cfg.peer,
        sharedKey: cfg.peer.sharedKey,
        heartbeatMs: cfg.fleet.heartbeatMs,
        peerTimeoutMs: cfg.fleet.peerTimeoutMs,
        counters,
        log: createLog("peer"),
    });
    const config = new ConfigStore({ kv, hub, prefix: cfg.kv.prefix, counters, log: createLog("config") });
    const pool = new TargetPool({ policy: policies.createTargetChoicePolicy(), counters });
    const client = new TargetClient({
        counters,
        maxAnswerBytes: cfg.limits.maxAnswerBytes,
        isLeaving: name => pool.hasLeft(name),
    });
    const book = createAddressBook(cfg, { hub, config });
    const ledger = createLedger(cfg, { kv, hub, config, client, counters, book });
    const registry = new RequestRegistry({ counters });
    const admission = new AdmissionGate({ pool, policy: policies.createAdmissionPolicy(cfg), counters });
    const gate = new TargetGate({ admission, retries: policies.createRetryBudget() });
    const engines = new EngineAttempt({ client, ledger, counters });
    const services = new ServiceAttempt({ client, ledger, counters });
    const runner = new RequestRunner({ ledger, gate, engines, services, counters });
    const locator: KeyLocator = new KeyLocator({
        hub,
        getKeyStatus: req => path.getKeyStatus(req),
        // A slow peer may be running the key, so wait until the peer would count as lost.
        timeoutMs: cfg.fleet.peerTimeoutMs,
        getDirectoryInstances: req => book.getDirectoryInstances(req.budget, `${req.team}\n${req.requestKey}`),
    });
    const path = new RequestCoordinator({
        getDocument: () => config.isStale(cfg.fleet.staleAfterS) ? undefined : config.current(),
        registry,
        locator,
        ledger,
        runner,
        sealedReader: new SealedStreamReader(engines),
        hub,
        forwarder: new Forwarder({ hub, sharedKey: cfg.peer.sharedKey, counters }),
        counters,
    });
    const list = new InstanceListPoller({ ...cfg.instanceList, counters });
    const loads = new LoadPoller({ pool, client, counters });
    const orders = createOrderReconciler(cfg, { kv, config, client, counters, incarnation: hub.self().incarnation });
    const routes = new CallerRoutes({ cfg, config, hub, book, path, ledger });
    const meter = new ProcessMeter();
    const gauges = new GaugeReporter({ meter, admission, ledger, counters });
    const api = createOperatorApi({
        store: config,
        hub,
        token: cfg.operator.token,
        staleAfterS: cfg.fleet.staleAfterS,
        getDump: () =>
            getStateDump({ meter, hub, config, ledger, pool, admission, registry, counters, orders: orders.lease }),
    });
    const operators = new OperatorServer({ address: cfg.operator, api, files: await readConsoleFiles() });
    return {
        counters,
        kv,
        hub,
        config,
        ledger,
        registry,
        locator,
        pool,
        admission,
        loads,
        orders,
        list,
        client,
        callers,
        routes,
        operators,
        gauges,
    };
};
