import type { Settings } from "@ospreyreel/config";
import { OspreyError } from "@ospreyreel/errors";
import { CallerServer } from "@ospreyreel/router";
import { Counters, createLog } from "@ospreyreel/telemetry";
import type { Address } from "@ospreyreel/types";
import { setTimeout as sleep } from "node:timers/promises";
import { awaitListedPeers } from "./await-listed-peers.js";
import type { CallerRoutes } from "./caller-routes.js";
import { createParts } from "./create-parts.js";
import type { DaemonParts } from "./daemon-parts.js";
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
const STOP_COPY_WAIT_MS = 5_000;
const FRESH_START_PAUSE_MS = 250;
const RUNNING_POLL_MS = 50;

/** One entry instance: all parts, wired. */
export class Daemon {
    readonly counters: Counters;
    private readonly log = createLog("daemon");
    private readonly stopper = new AbortController();
    private readonly leaving = new AbortController();
    private stopped: Promise<void> | undefined;
    private taking: Promise<void> = Promise.resolve();
    private lookedForDocument: Promise<void> = Promise.resolve();
    private ordering: Promise<void> | undefined;

    private constructor(
        private readonly cfg: Settings,
        private readonly parts: DaemonParts,
        readonly addresses: DaemonAddresses,
    ) {
        this.counters = parts.counters;
    }

    /** Starts everything and resolves when both ports listen; policies that are not given are the product's. */
    static async start(cfg: Settings, policies: Partial<DaemonPolicies> = {}): Promise<Daemon> {
        const counters = new Counters({ ...cfg.metrics, globalTags: { instance: cfg.instance } });
        // Callers are let in before the hub tells of their port, so that the port is known.
        const late: { routes?: CallerRoutes; } = {};
        const callers = new CallerServer({
            address: cfg.caller,
            limits: cfg.limits,
            counters,
            checkHead: (req, path) => late.routes?.checkHead(req, path),
            handler: async call => {
                if (late.routes === undefined) {
                    throw new OspreyError("the instance is starting", { result: "notReady" });
                }
                await late.routes.handle(call);
            },
        });
        const caller = await callers.start();
        const parts = await createParts({
            cfg,
            counters,
            callers,
            caller,
            policies: { ...DEFAULT_POLICIES, ...policies },
        });
        const operator = await parts.operators.start();
        // The addresses are printed, so the shared key must not come along.
        const { host, port } = cfg.peer;
        const daemon = new Daemon(cfg, parts, { caller, operator, peer: { host, port } });
        const met = daemon.run();
        daemon.taking = met.then(() => {
            late.routes = parts.routes;
        });
        return daemon;
    }

    /**
     * Resolves once requests are taken: the listed instances were met, or are not there, and the document in force and
     * an incarnation's registration were tried for once. During an outage both may still be lacking; `/health` tells.
     */
    async awaitReady(): Promise<void> {
        await this.taking;
        await this.lookedForDocument;
        await this.parts.ledger.awaitFirstTry();
    }

    /** Graceful stop: takes no new work, ends what runs, hands grants back. Called again, it waits for the same stop. */
    async stop(): Promise<void> {
        this.stopped ??= this.stopOnce();
        await this.stopped;
    }

    /** Starts all tasks; resolves once requests may be taken. */
    private async run(): Promise<void> {
        const { cfg, parts } = this;
        const { list, hub } = parts;
        const timeoutMs = cfg.fleet.peerTimeoutMs;
        const met = awaitListedPeers({ list, hub, timeoutMs, signal: this.stopper.signal });
        parts.ledger.start(hub.self().incarnation, met);
        parts.locator.serve();
        parts.hub.handle("targets.leaving", req => {
            parts.pool.markLeaving(req.targets);
            return Promise.resolve({});
        });
        parts.config.start();
        void followTargets({ documents: parts.config.changes(), pool: parts.pool, client: parts.client });
        const announcer = new LeavingAnnouncer({ hub: parts.hub, pool: parts.pool });
        void parts.list.watch().takeWhile(() => !this.stopper.signal.aborted).observe(list => {
            parts.hub.setPeerAddresses(list.instances.map(listed => listed.peer));
            announcer.note(
                list.targets.filter(target => target.state === "leaving").map(({ target }) => target),
            );
        });
        void parts.admission.run(this.stopper.signal);
        void parts.loads.run();
        this.ordering = parts.orders.keeper.run(this.leaving.signal);
        this.lookedForDocument = this.lookForDocument();
        void this.awaitConfiguration();
        this.log.info({ instance: cfg.instance, incarnation: parts.hub.self().incarnation }, "instance started");
        await met;
    }

    private async awaitConfiguration(): Promise<void> {
        await this.lookedForDocument;
        while (!this.stopper.signal.aborted && this.parts.config.current() === undefined) {
            await sleep(FRESH_START_PAUSE_MS);
            await this.lookForDocument();
        }
    }

    private async lookForDocument(): Promise<void> {
        const { config, list } = this.parts;
        const majorityOf = list.current().instances.map(listed => listed.instance);
        // A new fleet has none, and while nobody can be asked the next look may find it: the store has logged either.
        await config.awaitCurrent({ majorityOf }).catch(() => undefined);
    }

    private async stopOnce(): Promise<void> {
        const { cfg, parts } = this;
        this.log.info({ instance: cfg.instance }, "instance is leaving");
        parts.hub.updateSelf({ state: "leaving" });
        this.leaving.abort();
        parts.callers.drain();
        // Callers keep an address answer for its time to live. A peer cut off from this instance hands its address out
        // until it counts this instance as lost.
        const addressesEndMs = cfg.fleet.addressTtlS * MS_PER_S + cfg.fleet.peerTimeoutMs;
        await Promise.all([
            sleep(addressesEndMs),
            parts.ledger.leaveCopies(STOP_COPY_WAIT_MS),
            this.ordering,
        ]);
        const closed = parts.callers.close();
        while (parts.registry.running > 0) {
            await sleep(RUNNING_POLL_MS);
        }
        await closed;
        await parts.ledger.stop();
        this.stopper.abort();
        parts.config.stop();
        parts.loads.close();
        await parts.operators.close();
        await parts.hub.close();
        await parts.client.close();
        await parts.kv.close();
        parts.gauges.close();
        parts.counters.close();
        this.log.info({ instance: cfg.instance }, "instance stopped");
    }
}
