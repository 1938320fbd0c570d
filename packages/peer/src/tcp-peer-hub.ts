import { createLog } from "@ospreyreel/telemetry";
import type { Address, InstanceInfo, PeerRequestKind, PeerRequests } from "@ospreyreel/types";
import { fromEvent, periodic, type Stream } from "most";
import { EventEmitter, once } from "node:events";
import { createServer, type Server } from "node:net";
import { AwakeClock } from "./awake-clock.js";
import { DialTable } from "./dial-table.js";
import { Gossip } from "./gossip.js";
import { Heartbeat } from "./heartbeat.js";
import { LinkManager } from "./link-manager.js";
import { LinkOpener } from "./link-opener.js";
import type { LinkEvents } from "./link-options.js";
import { LinkTable } from "./link-table.js";
import { LinkTargets } from "./link-targets.js";
import type { Link } from "./link.js";
import { Membership } from "./membership.js";
import type { MemberRecord } from "./messages.js";
import { OnDemandDials } from "./on-demand-dials.js";
import { type MembershipChange, type PeerHandler, PeerHub } from "./peer-hub.js";
import { RequestHandlers } from "./request-handlers.js";
import { SelfRecord } from "./self-record.js";
import { type FullTcpPeerHubOptions, TCP_PEER_HUB_DEFAULTS, type TcpPeerHubOptions } from "./tcp-peer-hub-options.js";

/** Starts listening and returns a hub; throws where the address cannot be listened on. */
export const createTcpPeerHub = async (opts: TcpPeerHubOptions): Promise<TcpPeerHub> => {
    const server = createServer();
    server.listen(opts.listen.port, opts.listen.host);
    await once(server, "listening");
    const bound = server.address();
    const port = typeof bound === "object" && bound !== null ? bound.port : opts.listen.port;
    const peer = { host: opts.self.peer.host, port: opts.self.peer.port === 0 ? port : opts.self.peer.port };
    const self = { ...opts.self, peer };
    return new TcpPeerHub({ log: createLog("peer"), ...TCP_PEER_HUB_DEFAULTS, ...opts, self }, server, port);
};

/** Links over TCP: to all instances of a small fleet, to a bounded number in a large one. */
export class TcpPeerHub extends PeerHub {
    /** Port that this hub listens on. */
    readonly listenPort: number;
    private readonly opts: FullTcpPeerHubOptions;
    private readonly server: Server;
    private readonly clock: AwakeClock;
    private readonly links = new LinkTable();
    private readonly membership = new Membership();
    private readonly handlers = new RequestHandlers();
    private readonly tasks = new Set<Promise<void>>();
    private readonly lifecycle = new EventEmitter().setMaxListeners(0);
    private readonly stopping = new AbortController();
    private readonly selfRecord: SelfRecord;
    private readonly opener: LinkOpener;
    private readonly dials: DialTable;
    private readonly gossip: Gossip;
    private readonly linkManager: LinkManager;
    private readonly onDemand: OnDemandDials;
    private readonly targets: LinkTargets;
    private readonly heartbeat: Heartbeat;

    /** Use {@link createTcpPeerHub}. */
    constructor(opts: FullTcpPeerHubOptions, server: Server, listenPort: number) {
        super();
        this.opts = opts;
        this.server = server;
        this.listenPort = listenPort;
        this.clock = new AwakeClock({ maxStepMs: 2 * opts.heartbeatMs });
        this.selfRecord = new SelfRecord({ info: opts.self, links: this.links });
        const { links, membership } = this;
        const self = (): MemberRecord => this.selfRecord.record;
        const nowMs = (): number => this.clock.elapsedMs;
        this.gossip = new Gossip({
            links,
            membership,
            nowMs,
            self,
            refute: version => this.selfRecord.refute(version),
        });
        this.opener = new LinkOpener({
            ...opts,
            deadlineMs: opts.peerTimeoutMs,
            events: this.createLinkEvents(),
            self,
            isAllowed: remote => this.mergeOwn(remote),
        });
        this.linkManager = new LinkManager({
            links,
            membership,
            gossip: this.gossip,
            opener: this.opener,
            counters: opts.counters,
            nowMs,
            self,
            isStopping: () => this.stopping.signal.aborted,
            onEnd: () => this.updateTargets(),
        });
        this.dials = new DialTable({
            isLinked: address => links.hasLinkTo(address),
            connect: async (address, signal) => this.linkManager.serve(await this.linkManager.dial(address, signal)),
            checkMs: opts.heartbeatMs,
            onStart: task => this.trackTask(task),
        });
        this.onDemand = new OnDemandDials({
            find: incarnation => membership.find(incarnation),
            open: record => this.openOnDemand(record),
        });
        this.targets = new LinkTargets({
            ...opts,
            membership,
            self,
            isLinked: info => links.findUsableLink(info.incarnation) !== undefined,
        });
        this.heartbeat = new Heartbeat({ ...opts, links, membership, gossip: this.gossip, clock: this.clock });
        server.on("connection", socket => this.trackTask(this.linkManager.accept(socket)));
        this.trackTask(this.runHeartbeat());
        this.trackTask(this.logChanges());
    }

    /** Number of open links, draining ones included. */
    get linkCount(): number {
        return this.links.size;
    }

    /** Sets the addresses that the platform lists, which may include this instance's own. */
    setPeerAddresses(addresses: readonly Address[]): void {
        this.targets.setListed(addresses);
        this.updateTargets();
    }

    async request<K extends PeerRequestKind>(
        incarnation: string,
        kind: K,
        req: PeerRequests[K]["req"],
        timeoutMs: number,
    ): Promise<PeerRequests[K]["res"]> {
        const { counters } = this.opts;
        counters.add("peer_requests");
        const startedAtMs = performance.now();
        try {
            const link = this.links.findUsableLink(incarnation) ?? await this.linkOnDemand(incarnation, timeoutMs);
            const leftMs = timeoutMs - (performance.now() - startedAtMs);
            return await link.request(kind, req, leftMs) as PeerRequests[K]["res"];
        }
        catch (err) {
            counters.add("peer_request_failures");
            throw err;
        }
    }

    handle<K extends PeerRequestKind>(kind: K, handler: PeerHandler<K>): void {
        this.handlers.set(kind, handler);
    }

    peers(): readonly InstanceInfo[] {
        return this.membership.list();
    }

    self(): InstanceInfo {
        return this.selfRecord.record.info;
    }

    updateSelf(change: Partial<Pick<InstanceInfo, "state" | "configRevision" | "incarnation">>): void {
        this.selfRecord.update(change);
    }

    changes(): Stream<MembershipChange> {
        return this.membership.changes();
    }

    async close(): Promise<void> {
        if (!this.stopping.signal.aborted) {
            this.stopping.abort();
            this.lifecycle.emit("closing");
            this.dials.setAddresses([]);
            this.opener.close();
            this.links.getLinks().forEach(link => link.goodbye());
            this.server.close();
        }
        await Promise.all(this.tasks);
    }

    private createLinkEvents(): LinkEvents {
        return {
            onFrame: link => this.membership.recordContact(link.remote.info, this.clock.elapsedMs),
            onRecord: (link, record) => this.handleRecord(link, record),
            onGossip: (link, message) => this.gossip.receive(link, message),
            onDigest: (link, message) => this.gossip.receiveDigest(link, message),
            onGoodbye: link => this.handleGoodbye(link),
            handleRequest: (link, req) => this.handlers.handle(req, this.self(), link.remote.info),
        };
    }

    /** Tracks a task until it ends, so that closing can wait for it. */
    private trackTask(task: Promise<void>): void {
        this.tasks.add(task);
        void task.finally(() => this.tasks.delete(task));
    }

    private async linkOnDemand(incarnation: string, timeoutMs: number): Promise<Link> {
        const dialled = await this.onDemand.getLink(incarnation, timeoutMs);
        // The peer may have dialled at the same time; then its link is the one that stays.
        return dialled.isUsable ? dialled : this.links.findUsableLink(incarnation) ?? dialled;
    }

    private async openOnDemand({ info }: MemberRecord): Promise<Link> {
        const link = await this.linkManager.dial(info.peer, this.stopping.signal);
        this.trackTask(this.linkManager.serve(link));
        return link;
    }

    /** Merges a peer's own record; rejects this instance's own name and an incarnation replaced by a newer one. */
    private mergeOwn(record: MemberRecord, from?: Link): boolean {
        if (record.info.instance === this.self().instance) {
            return false;
        }
        const merged = this.membership.mergeOwn(record, this.clock.elapsedMs);
        if (merged === "news") {
            this.gossip.spreadRecord(record, from);
        }
        return merged !== "stale";
    }

    private handleRecord(link: Link, record: MemberRecord): boolean {
        const accepted = this.mergeOwn(record, link);
        if (accepted) {
            this.linkManager.drainRedundant(link);
        }
        return accepted;
    }

    private handleGoodbye(link: Link): void {
        const { info, version } = link.remote;
        const { instance, incarnation } = info;
        this.membership.remove(link.remote, this.clock.elapsedMs);
        this.gossip.spreadSuspicion({ instance, incarnation, version, stopped: true }, link);
        this.links.destroyLinksTo(incarnation, "the peer has stopped");
    }

    private async runHeartbeat(): Promise<void> {
        const ticks = periodic(this.opts.heartbeatMs).until(fromEvent("closing", this.lifecycle));
        await ticks.observe(() => this.trackTask(this.tick()));
    }

    private async tick(): Promise<void> {
        if (await this.heartbeat.tick()) {
            this.updateTargets();
            this.linkManager.drainIdle(this.opts.idleLinkMs, address => this.dials.has(address));
        }
    }

    private updateTargets(): void {
        if (!this.stopping.signal.aborted) {
            this.dials.setAddresses(this.targets.updateAddresses(this.clock.elapsedMs));
        }
    }

    private async logChanges(): Promise<void> {
        const changes = this.changes().until(fromEvent("closing", this.lifecycle));
        await changes.filter(change => change.kind !== "updated").observe(({ kind, info }) => {
            this.opts.log.info({ instance: info.instance, incarnation: info.incarnation }, `peer ${kind}`);
        });
    }
}
