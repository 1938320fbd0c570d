import type { Settings } from "@ospreyreel/config";
import { OspreyError } from "@ospreyreel/errors";
import { CallerServer } from "@ospreyreel/router";
import { Counters, createLog } from "@ospreyreel/telemetry";
import type { Address } from "@ospreyreel/types";
import { setTimeout as sleep } from "node:timers/promises";
import { awaitListedPeers } from "./await-listed-peers.js";
import type { CallerRoutes } from "./caller-routes.js";
import { createComponents } from "./create-components.js";
import type { DaemonComponents } from "./daemon-components.js";
import { type DaemonPolicies, DEFAULT_POLICIES } from "./daemon-policies.js";
import { followTargets } from "./follow-targets.js";
import { LeavingAnnouncer } from "./leaving-announcer.js";

/** Addresses on which a daemon listens. */
export interface DaemonAddresses {
    readonly caller: Address;
    readonly operator: Address;
    readonly peer: Address;
}

const MS_PER_S = 1_000;
const LEAVE_COPIES_TIMEOUT_MS = 5_000;
const DOCUMENT_RETRY_MS = 250;
const RUNNING_POLL_MS = 50;

/** One entry instance with all its components. */
export class Daemon {
    readonly counters: Counters;
    private readonly log = createLog("daemon");
    private readonly stopController = new AbortController();
    private readonly leavingController = new AbortController();
    private stopped: Promise<void> | undefined;
    private acceptingRequests: Promise<void> = Promise.resolve();
    private firstDocumentLoad: Promise<void> = Promise.resolve();
    private orderTask: Promise<void> | undefined;

    private constructor(
        private readonly cfg: Settings,
        private readonly components: DaemonComponents,
        readonly addresses: DaemonAddresses,
    ) {
        this.counters = components.counters;
    }

    /** Starts all components and resolves when all ports listen; omitted policies are {@link DEFAULT_POLICIES}. */
    static async start(cfg: Settings, policies: Partial<DaemonPolicies> = {}): Promise<Daemon> {
        const counters = new Counters({ ...cfg.metrics, globalTags: { instance: cfg.instance } });
        // The caller port must listen before the hub announces it, since its number is not known earlier.
        const deferred: { routes?: CallerRoutes; } = {};
        const callers = new CallerServer({
            address: cfg.caller,
            limits: cfg.limits,
            counters,
            checkHead: (req, path) => deferred.routes?.checkHead(req, path),
            handler: async call => {
                if (deferred.routes === undefined) {
                    throw new OspreyError("the instance is starting", { result: "notReady" });
                }
                await deferred.routes.handle(call);
            },
        });
        const caller = await callers.start();
        const components = await createComponents({
            cfg,
            counters,
            callers,
            caller,
            policies: { ...DEFAULT_POLICIES, ...policies },
        });
        const operator = await components.operators.start();
        // The addresses are printed, so the shared key must not be among them.
        const { host, port } = cfg.peer;
        const daemon = new Daemon(cfg, components, { caller, operator, peer: { host, port } });
        const peersKnown = daemon.run();
        daemon.acceptingRequests = peersKnown.then(() => {
            deferred.routes = components.routes;
        });
        return daemon;
    }

    /**
     * Resolves once requests are accepted: the listed instances are known as peers or counted as lost, and one attempt
     * each was made to load the active document and to register an incarnation. During an outage both may still be
     * missing; `/health` reports whether they are.
     */
    async awaitReady(): Promise<void> {
        await this.acceptingRequests;
        await this.firstDocumentLoad;
        await this.components.ledger.awaitFirstAttempt();
    }

    /** Stops gracefully: accepts no new work, finishes running requests, returns grants. Later calls await the first. */
    async stop(): Promise<void> {
        this.stopped ??= this.stopOnce();
        await this.stopped;
    }

    /** Starts all tasks; resolves once requests may be accepted. */
    private async run(): Promise<void> {
        const { cfg, components } = this;
        const { list, hub } = components;
        const timeoutMs = cfg.fleet.peerTimeoutMs;
        const peersKnown = awaitListedPeers({ list, hub, timeoutMs, signal: this.stopController.signal });
        components.ledger.start(hub.self().incarnation, peersKnown);
        components.locator.serve();
        components.hub.handle("targets.leaving", req => {
            components.pool.markLeaving(req.targets);
            return Promise.resolve({});
        });
        components.config.start();
        void followTargets({
            documents: components.config.changes(),
            pool: components.pool,
            client: components.client,
        });
        const announcer = new LeavingAnnouncer({ hub: components.hub, pool: components.pool });
        void components.list.watch().takeWhile(() => !this.stopController.signal.aborted).observe(list => {
            components.hub.setPeerAddresses(list.instances.map(listed => listed.peer));
            announcer.update(
                list.targets.filter(target => target.state === "leaving").map(({ target }) => target),
            );
        });
        void components.admission.run(this.stopController.signal);
        void components.loads.run();
        this.orderTask = components.orders.reconciler.run(this.leavingController.signal);
        this.firstDocumentLoad = this.loadDocument();
        void this.retryDocumentLoad();
        this.log.info({ instance: cfg.instance, incarnation: components.hub.self().incarnation }, "instance started");
        await peersKnown;
    }

    private async retryDocumentLoad(): Promise<void> {
        await this.firstDocumentLoad;
        while (!this.stopController.signal.aborted && this.components.config.current() === undefined) {
            await sleep(DOCUMENT_RETRY_MS);
            await this.loadDocument();
        }
    }

    private async loadDocument(): Promise<void> {
        const { config, list } = this.components;
        const listedInstances = list.current().instances.map(listed => listed.instance);
        // A new fleet has no document; if no source responds, the next attempt may succeed. The store logs either case.
        await config.loadCurrent({ listedInstances }).catch(() => undefined);
    }

    private async stopOnce(): Promise<void> {
        const { cfg, components } = this;
        this.log.info({ instance: cfg.instance }, "instance is leaving");
        components.hub.updateSelf({ state: "leaving" });
        this.leavingController.abort();
        components.callers.drain();
        // Callers cache an address response for its time to live. A peer partitioned from this instance returns
        // this instance's address until it counts the instance as lost.
        const addressesEndMs = cfg.fleet.addressTtlS * MS_PER_S + cfg.fleet.peerTimeoutMs;
        await Promise.all([
            sleep(addressesEndMs),
            components.ledger.drainCopies(LEAVE_COPIES_TIMEOUT_MS),
            this.orderTask,
        ]);
        const closed = components.callers.close();
        while (components.registry.running > 0) {
            await sleep(RUNNING_POLL_MS);
        }
        await closed;
        await components.ledger.stop();
        this.stopController.abort();
        components.config.stop();
        components.loads.close();
        await components.operators.close();
        await components.hub.close();
        await components.client.close();
        await components.kv.close();
        components.gauges.close();
        components.counters.close();
        this.log.info({ instance: cfg.instance }, "instance stopped");
    }
}
