import { FleetBudgets } from "@ospreyreel/budgets";
import { BreakerKvClient, type KvCall, type KvClient, KvHealth } from "@ospreyreel/kv";
import {
    type CallerLimit,
    type ClosedConnection,
    LimitLog,
    readDescriptorLimit,
    type TcpPeerHub,
} from "@ospreyreel/peer";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { OpenGate } from "../admission/open-gate.js";
import { Waiting } from "../admission/waiting.js";
import { DocumentFollower } from "../document/document-follower.js";
import { DocumentHolder } from "../document/document-holder.js";
import { EvacuatedZones } from "../evacuation/evacuated-zones.js";
import { EvacuationFollower } from "../evacuation/evacuation-follower.js";
import { ConnectionHandoff } from "../handoff/connection-handoff.js";
import { HandoffPort } from "../handoff/handoff-port.js";
import { SecondSends } from "../hedging/second-sends.js";
import { type CallerLimits, getCallerLimits } from "../http/caller-limits.js";
import { HttpCallerPort, type UnansweredRequest } from "../http/http-caller-port.js";
import { HttpReportPort } from "../http/http-report-port.js";
import { StatusPort, type StatusPortResponse } from "../http/status-port.js";
import { ColdTargets } from "../limits/cold-targets.js";
import { CombinedSendPermits } from "../limits/combined-send-permits.js";
import { FleetRoom } from "../limits/fleet-room.js";
import { FleetSendPermits } from "../limits/fleet-send-permits.js";
import { LoadSharing } from "../load/load-sharing.js";
import { UnknownTargetLoads } from "../load/target-loads.js";
import { AffinityPlacement } from "../policy/affinity-placement.js";
import { OverloadGuard } from "../policy/overload-guard.js";
import { EqualUrgency, PriorityUrgency } from "../policy/request-urgency.js";
import { sampleInstances } from "../policy/sample-instances.js";
import { StopWindow } from "../policy/stop-window.js";
import { ConnectCrashCheck } from "../quarantine/connect-crash-check.js";
import { DecisionStore } from "../quarantine/decision-store.js";
import { PartQuarantine } from "../quarantine/part-quarantine.js";
import { ZoneRegions } from "../regions/zone-regions.js";
import type { LogFields } from "../relay-log.js";
import { Relay } from "../relay.js";
import { AnnouncedStartCheck } from "../targets/start-check.js";
import { TargetDirectory } from "../targets/target-directory.js";
import { TargetFollower } from "../targets/target-follower.js";
import { TargetSelector } from "../targets/target-selector.js";
import { WarmPreference } from "../targets/warm-preference.js";
import { FleetStreamOrigins } from "../versions/fleet-stream-origins.js";
import { MAX_VIEW_AGE_MS, VersionHistory } from "../versions/version-history.js";
import { VersionRecord } from "../versions/version-record.js";
import { ViewFreshness } from "../watch/view-freshness.js";
import { BoundedLog } from "./bounded-log.js";
import { createRelayHub } from "./create-relay-hub.js";
import { createSharedWatch } from "./create-shared-watch.js";
import { FleetBudgetGate } from "./fleet-budget-gate.js";
import { FleetRoster } from "./fleet-roster.js";
import { FleetShares } from "./fleet-shares.js";
import { InputDelayMeter } from "./input-delay-meter.js";
import { formatAddress, parseAddress } from "./instance-addresses.js";
import { PeerKvClient } from "./peer-kv-client.js";
import type { DirectoryQuery, InstanceView, RelayAdapter } from "./relay-adapter.js";
import { RelayMetrics } from "./relay-metrics.js";
import type { RelaySettings } from "./relay-settings.js";
import { getTargetView, type RelayState } from "./relay-state.js";
import { ReportPlacing } from "./report-placing.js";
import { ResponsibleInstances } from "./responsible-instances.js";
import { startOverloadWatch } from "./start-overload-watch.js";
import { TargetSending } from "./target-sending.js";
import { waitUntilDrained } from "./wait-until-drained.js";

/**
 * Time after an outage in which targets announce themselves again, in milliseconds. Targets take up to two seconds, but
 * a stopped target must get no requests after two seconds, so the wait is shorter.
 */
const TARGET_REANNOUNCE_MS = 1_700;

const METRICS_PATH = "/metrics";
const STATE_PATH = "/state";
const HTTP_NOT_FOUND = 404;

const MS_PER_S = 1_000;
const POLL_INTERVAL_MS = 50;

/** Time between two attempts to release budgets while the KV service is unavailable, in milliseconds. */
const BUDGET_RELEASE_INTERVAL_MS = 300;

/** Share of the stop time after which running requests are ended, so that the process still ends in order. */
const STOP_TIME_SHARE = 0.9;

/** Share of the stop time in which the last responses are sent. */
const FLUSH_TIME_SHARE = 0.03;

const NO_BODY = Buffer.alloc(0);

/** Some callers use addresses for this many times their TTL. */
const ADDRESS_TTL_FACTOR = 3;

/** One instance that relays requests from callers to the targets of a platform. */
export class RelayInstance {
    readonly metrics = new RelayMetrics();
    private readonly log = new BoundedLog("relay");
    private readonly documents = new DocumentHolder();
    private readonly directory = new TargetDirectory();
    private readonly health = new KvHealth();
    private readonly cold = new ColdTargets({
        findService: service => this.documents.current()?.findService(service),
    });
    private readonly evacuated = new EvacuatedZones({ log: this.log, count: name => this.metrics.add(name) });
    private readonly freshness = new ViewFreshness({ log: this.log });
    private readonly callerLimits: CallerLimits;
    private readonly limitLog = new LimitLog<string, LogFields>((limit, count, fields) =>
        this.log.write("limit on callers reached", { limit, count, ...fields })
    );
    private readonly unansweredLog = new LimitLog<string, UnansweredRequest>((_, count, { id, hasBegun, ageMs }) =>
        this.log.write("request without a whole answer", { request: id, count, hasBegun, ms: Math.round(ageMs) })
    );
    private readonly overload = new OverloadGuard({ nowMs: () => performance.now(), random: Math.random });
    private readonly delays: InputDelayMeter;
    private readonly regions: ZoneRegions;
    private readonly roster: FleetRoster;
    private readonly shares: FleetShares;
    private readonly kv: BreakerKvClient;
    private readonly watch: KvClient["watch"];
    private readonly sending: TargetSending;
    private readonly callerPort: HttpCallerPort;
    private readonly handoff: ConnectionHandoff;
    /** Undefined where no address for it is set. */
    private readonly handoffPort: HandoffPort | undefined;
    private readonly statusPorts: readonly StatusPort[];
    private readonly follower: TargetFollower;
    private readonly relay: Relay;
    private readonly budgets: FleetBudgets;
    private readonly permits: FleetSendPermits;
    private readonly room: FleetRoom;
    /** Undefined where no reports are read. */
    private readonly loadSharing: LoadSharing | undefined;
    /** Undefined where targets are not selected by reports. */
    private readonly reportPlacing: ReportPlacing | undefined;
    /** Undefined where no request waits. */
    private readonly waiting: Waiting | undefined;
    private readonly versions: VersionHistory;
    private readonly versionRecord: VersionRecord;
    private readonly origins: FleetStreamOrigins;
    private readonly starts: AnnouncedStartCheck;
    private readonly parts: PartQuarantine;
    private readonly decisions: DecisionStore;
    /** Undefined where they are off. */
    private readonly secondSends: SecondSends | undefined;
    /** Resolves once requests are accepted. */
    readonly ready: Promise<void>;
    private resolveReady: () => void = () => undefined;
    private stopping: Promise<void> | undefined;

    private constructor(
        private readonly cfg: RelaySettings,
        private readonly adapter: RelayAdapter,
        private readonly hub: TcpPeerHub,
    ) {
        this.ready = new Promise(resolve => {
            this.resolveReady = resolve;
        });
        this.callerLimits = getCallerLimits(cfg.callerLimits, readDescriptorLimit());
        const onCall = (call: KvCall): void => this.metrics.recordKvCall(call);
        const platformKv = adapter.createKvClient({ ...cfg.kv, health: this.health, onCall });
        this.kv = new BreakerKvClient(platformKv, this.health);
        this.watch = createSharedWatch({
            kv: platformKv,
            health: this.health,
            hub,
            targets: adapter.targetCodec,
            freshness: this.freshness,
            log: this.log,
            getPauseMs: () => this.shares.watchPauseMs,
        });
        this.regions = new ZoneRegions({ zones: cfg.zones, ownRegion: cfg.region });
        this.delays = new InputDelayMeter(parseAddress(cfg.callers));
        this.roster = new FleetRoster({ hub });
        this.shares = new FleetShares({ roster: this.roster, documents: this.documents, retries: cfg.retries });
        this.sending = this.createSending();
        const fleetKv = new PeerKvClient({ own: this.kv, hub });
        fleetKv.serve();
        this.starts = this.createStartCheck(fleetKv);
        this.budgets = this.createBudgets(fleetKv);
        this.permits = this.createPermits();
        this.room = this.createRoom();
        this.loadSharing = this.createLoadSharing();
        this.reportPlacing = this.createReportPlacing();
        this.waiting = cfg.waiting.isEnabled ? this.createWaiting() : undefined;
        this.versions = new VersionHistory({ directory: this.directory, nowMs: () => performance.now() });
        this.origins = this.createOrigins();
        this.versionRecord = this.createVersionRecord();
        this.decisions = new DecisionStore({ kv: this.kv, log: this.log });
        this.parts = this.createParts();
        this.secondSends = this.createSecondSends();
        this.relay = this.createRelay();
        this.handoff = this.createHandoff();
        this.handoffPort = this.createHandoffPort();
        this.callerPort = this.createCallerPort();
        this.follower = this.createFollower(fleetKv);
        this.statusPorts = this.createStatusPorts();
    }

    /** Starts an instance; resolves when its ports listen. Throws if listening fails on one of them. */
    static async start(cfg: RelaySettings, adapter: RelayAdapter): Promise<RelayInstance> {
        const hub = await createRelayHub(cfg);
        const instance = new RelayInstance(cfg, adapter, hub);
        await instance.open();
        return instance;
    }

    /** This instance's state for the platform and for callers. */
    get view(): InstanceView {
        return this.getView({ host: undefined, region: undefined });
    }

    /** The same for a caller that asks for addresses: instances of its region and of the homes of its host come first. */
    private getView({ host, region }: DirectoryQuery): InstanceView {
        const own = this.isReady ? [this.hub.self()] : [];
        const homes = host === undefined ? [] : this.documents.current()?.getHomes(host) ?? [];
        const regions = new Set(region === undefined ? homes : [region, ...homes]);
        const addresses = sampleInstances([...own, ...this.roster.listAccepting()], { regions }).map(info =>
            formatAddress(info.caller)
        );
        return { isReady: this.isReady, addresses, addressTtlS: this.cfg.addressTtlS };
    }

    /** Current state of this instance. */
    get state(): RelayState {
        return {
            self: this.hub.self(),
            isReady: this.isReady,
            documentVersion: this.documents.version,
            kvAvailable: this.health.isAvailable,
            kvEra: this.kv.history.era,
            budgetsFirstEra: this.budgets.firstEra,
            openRequests: this.relay.openRequests,
            peers: this.hub.peers(),
            removedTargets: this.directory.removedIds,
            targets: this.directory.list().map(state =>
                getTargetView(state, {
                    isDirect: this.sending.paths.isDirect(state.target),
                    load: this.loadSharing?.loads.get(state.target),
                    coldMs: this.cold.getLimit(state)?.leftMs ?? 0,
                    region: this.regions.getRegion(state.target),
                })
            ),
            targetReports: this.loadSharing?.view,
            placementByReports: this.reportPlacing?.selector.view ?? [],
            forwardedSends: this.sending.forwardedSends.size,
            handoff: this.handoff.view,
            callerLimits: {
                callers: this.callerPort.guardView,
                statusPorts: this.statusPorts.map(port => port.guardView),
                handedOffHeldBytes: this.handoff.heldBytes,
            },
            takenConnections: this.handoffPort?.view ?? {},
            budgets: this.budgets.list(),
            quarantine: this.parts.view,
            versions: this.versions.services.map(service => ({ service, versions: this.versions.list(service) })),
            waiting: this.waiting?.gate.view ?? [],
            brittleServices: this.room.brittleServices,
            secondSends: this.secondSends?.view ?? [],
            knownStreams: this.origins.size,
            evacuatedZones: this.evacuated.list(),
        };
    }

    /** Applies changed settings; only the addresses of other instances may change at run time. */
    updateSettings(cfg: RelaySettings): void {
        this.hub.setPeerAddresses(cfg.seeds.map(parseAddress));
        this.log.write("settings reloaded", { seeds: cfg.seeds.join(" ") });
    }

    /** Stops gracefully: announces the leaving immediately, lets running requests end, then resolves. */
    async stop(): Promise<void> {
        this.stopping ??= this.stopOnce({ hasFailed: false });
        await this.stopping;
    }

    /**
     * Stops after an error that nothing has handled: open requests are answered and others refused. Budgets are left to be taken over as
     * after a kill, since what is known of them here may be wrong.
     */
    async stopAfterError(): Promise<void> {
        this.stopping ??= this.stopOnce({ hasFailed: true });
        await this.stopping;
    }

    /** Takes note of an error that nothing has handled. */
    recordUnexpectedError(err: Error): void {
        this.metrics.add("unexpected_errors");
        this.log.write("unexpected error", {
            cause: err.stack ?? String(err),
            openRequests: this.relay.openRequests,
        });
    }

    private get isReady(): boolean {
        return this.stopping === undefined && this.documents.current() !== undefined && this.follower.isSynced
            && this.evacuated.isSynced;
    }

    private createStartCheck(kv: KvClient): AnnouncedStartCheck {
        return new AnnouncedStartCheck({
            kv,
            codec: this.adapter.targetCodec,
            directory: this.directory,
            freshness: this.freshness,
            log: this.log,
            count: name => this.metrics.add(name),
        });
    }

    private createFollower(kv: KvClient): TargetFollower {
        return new TargetFollower({
            watch: this.watch,
            get: key => kv.get(key),
            health: this.health,
            hub: this.hub,
            codec: this.adapter.targetCodec,
            directory: this.directory,
            log: this.log,
            reannounceMs: TARGET_REANNOUNCE_MS,
        });
    }

    private createSending(): TargetSending {
        return new TargetSending({
            protocol: this.adapter.targetProtocol,
            hub: this.hub,
            directory: this.directory,
            onLeaving: target => this.follower.recordLeaving(target.id),
            isAccepting: () => this.stopping === undefined && !this.overload.isRefusing,
            isSendAllowed: target => !this.evacuated.blocks(target) && !this.freshness.isOutdated,
            getConnectionLimit: service => this.shares.getConnectionLimit(service),
            log: this.log,
            count: name => this.metrics.add(name),
        });
    }

    private createHandoff(): ConnectionHandoff {
        const { adapter, hub } = this;
        return new ConnectionHandoff({
            hub,
            getVersion: () => this.documents.version,
            getOwnRequests: () => this.callerPort.ownRequests,
            onExchange: (caller, change) => this.callerPort.countHandedOffExchange(caller, change),
            maxHeldBytes: this.callerLimits.maxHeldBytes / 2,
            getTerms: head => {
                const req = adapter.callerProtocol.decode(head);
                return req === undefined ? undefined : this.relay.getTerms({ ...req, body: NO_BODY });
            },
            log: this.log,
            count: name => this.metrics.add(name),
        });
    }

    private createCallerPort(): HttpCallerPort {
        const { adapter, cfg } = this;
        return new HttpCallerPort({
            ...parseAddress(cfg.callers),
            protocol: adapter.callerProtocol,
            getBounds: () => this.documents.current()?.document.bounds,
            serve: (req, caller) => this.relay.serve(req, caller),
            handOff: (socket, serveHere) => !this.isProbe(socket) && this.handoff.handOff(socket, serveHere),
            isHandingOff: () => this.handoff.isActive,
            getMinVersion: () => this.handoff.servedVersion,
            onFailure: err => this.log.write("request failed unexpectedly", { cause: String(err) }),
            limits: this.callerLimits,
            onLimit: limit => this.recordLimit("callers", limit),
            onClose: closed => this.recordClosed("callers", closed),
            onCrowded: () => this.metrics.add("requests_refused_crowded"),
            onUnanswered: req => this.recordUnanswered(req),
            onBodyUnread: why => this.metrics.add(`request_bodies_unread_${why}`),
        });
    }

    private createHandoffPort(): HandoffPort | undefined {
        const { handoff } = this.cfg;
        return handoff === undefined ? undefined : new HandoffPort({
            hub: this.hub,
            listen: parseAddress(handoff),
            findVersion: from => this.documents.findOldest(from)?.document.version ?? 0,
            getRefusal: isHelping => this.getTakeRefusal(isHelping),
            accept: (socket, origin) => this.callerPort.accept(socket, origin),
            log: this.log,
            count: name => this.metrics.add(name),
        });
    }

    /** Why this instance serves no connections of others; undefined where it does. */
    private getTakeRefusal(isHelping: boolean): string | undefined {
        if (!this.isReady) {
            return "the peer is not ready";
        }
        return this.overload.isRefusing || !this.handoff.mayHelp(isHelping) ? "the peer is busy itself" : undefined;
    }

    /** Whether a connection is this instance's own, which measures how long new ones wait. */
    private isProbe({ remoteAddress, remotePort }: Socket): boolean {
        return this.delays.isOwn(remoteAddress, remotePort);
    }

    private createRelay(): Relay {
        return new Relay({
            documents: this.documents,
            selector: new TargetSelector({
                directory: this.directory,
                placement: new AffinityPlacement(),
                availabilityZone: this.cfg.availabilityZone,
                getConnectionLimit: service => this.shares.getConnectionLimit(service),
                isSettled: (service, version) => this.versions.isSettled(service, version),
                getRegion: target => this.regions.getRegion(target),
                warmth: new WarmPreference({ isCold: state => this.cold.getLimit(state) !== undefined }),
                mayStart: (state, permittedAtMs) => this.cold.mayStart(state, permittedAtMs),
                isEvacuated: target => this.evacuated.blocks(target),
                reports: this.reportPlacing?.selector,
            }),
            port: this.sending.port,
            urgency: this.cfg.urgency.isEnabled ? new PriorityUrgency() : new EqualUrgency(),
            budgets: new FleetBudgetGate(this.budgets),
            getRetries: service => this.shares.getRetries(service),
            overload: this.overload,
            freshness: this.freshness,
            gate: this.waiting?.gate ?? new OpenGate(),
            permits: new CombinedSendPermits([this.permits, this.room, ...(this.waiting?.permits ?? [])]),
            origins: this.origins,
            starts: this.starts,
            parts: this.parts,
            secondSends: this.secondSends,
            sends: this.reportPlacing?.sends ?? this.loadSharing?.sends,
            log: this.log,
            meter: this.metrics,
            random: Math.random,
        });
    }

    private createSecondSends(): SecondSends | undefined {
        const { share, percentile } = this.cfg.secondSends;
        return share === 0 ? undefined : new SecondSends({
            share,
            percentile,
            directory: this.directory,
            loads: this.loadSharing?.loads ?? new UnknownTargetLoads(),
            isInstanceReady: () => this.stopping === undefined && !this.overload.isRefusing,
            log: this.log,
            count: (name, amount) => this.metrics.add(name, amount),
        });
    }

    private createBudgets(kv: PeerKvClient): FleetBudgets {
        return new FleetBudgets({
            kv,
            isKvAvailable: () => this.health.isAvailable || kv.hasHelper,
            hub: this.hub,
            maxCopyAgeMs: this.cfg.kv.maxCopyAgeS * MS_PER_S,
            getPrepaid: team => this.documents.current()?.findTeam(team)?.prepaidTokens ?? 0,
            log: (event, fields) => this.log.write(event, fields),
        });
    }

    private createParts(): PartQuarantine {
        return new PartQuarantine({
            hub: this.hub,
            crashes: new ConnectCrashCheck({
                isReachedByPeers: target => this.sending.paths.recordUnreachable(target),
            }),
            log: this.log,
            count: name => this.metrics.add(name),
            onDecision: decision => void this.decisions.save(decision),
        });
    }

    private createPermits(): FleetSendPermits {
        return new FleetSendPermits({
            hub: this.hub,
            directory: this.directory,
            cold: this.cold,
            getReachableShare: () => this.roster.reachableShare,
            log: this.log,
            count: name => this.metrics.add(name),
        });
    }

    private createRoom(): FleetRoom {
        return new FleetRoom({
            hub: this.hub,
            directory: this.directory,
            getReachableShare: () => this.roster.reachableShare,
            log: this.log,
            count: name => this.metrics.add(name),
        });
    }

    private createLoadSharing(): LoadSharing | undefined {
        const { intervalMs } = this.cfg.targetReports;
        return intervalMs === 0 ? undefined : new LoadSharing({
            hub: this.hub,
            directory: this.directory,
            port: new HttpReportPort(this.adapter.targetProtocol),
            intervalMs,
            // Plain services have no reports, and their targets count each read as a request that they rejected.
            hasReports: service => this.documents.current()?.findService(service)?.tokensPerEvent !== undefined,
            isCutOff: () => this.roster.size > 1 && this.hub.peers().length === 0,
            log: this.log,
            count: (name, amount) => this.metrics.add(name, amount),
        });
    }

    private createWaiting(): Waiting {
        return new Waiting({
            hub: this.hub,
            directory: this.directory,
            loads: this.loadSharing?.loads ?? new UnknownTargetLoads(),
            maxMs: this.cfg.waiting.maxMs,
            getInstances: () => this.roster.size,
            getReachableShare: () => this.roster.reachableShare,
            getConnectionLimit: service => this.shares.getConnectionLimit(service),
            log: this.log,
            count: (name, amount) => this.metrics.add(name, amount),
        });
    }

    private createReportPlacing(): ReportPlacing | undefined {
        const { loadSharing: sharing, cfg } = this;
        return sharing === undefined || !cfg.placement.usesReports ? undefined : new ReportPlacing({
            sharing,
            hasIdleConnection: (target, mayRepeat) => this.sending.port.hasIdleConnection(target, mayRepeat),
            getInstances: () => this.roster.size,
            availabilityZone: cfg.availabilityZone,
            log: this.log,
            count: name => this.metrics.add(name),
        });
    }

    private createOrigins(): FleetStreamOrigins {
        return new FleetStreamOrigins({
            hub: this.hub,
            history: this.versions,
            isViewCurrent: () => this.freshness.ageMs <= MAX_VIEW_AGE_MS,
            log: this.log,
            count: name => this.metrics.add(name),
            nowMs: () => performance.now(),
        });
    }

    private createVersionRecord(): VersionRecord {
        const writers = new ResponsibleInstances({ hub: this.hub, nowMs: () => performance.now() });
        return new VersionRecord({
            kv: this.kv,
            history: this.versions,
            isWriter: service => writers.isFirst(service),
            log: this.log,
        });
    }

    /** Takes note that callers have reached a limit at a port. */
    private recordLimit(port: string, limit: CallerLimit): void {
        this.metrics.add(`caller_limit_${limit}`);
        this.limitLog.record(`${port} ${limit}`, {});
    }

    /** Takes note that a port has closed a connection since there are too many. */
    private recordClosed(port: string, closed: ClosedConnection): void {
        this.metrics.add(`caller_connections_closed_${closed.stage}`);
        const { ageMs, stageMs, bytesRead } = closed;
        const fields = { ageMs: Math.round(ageMs), stageMs: Math.round(stageMs), bytesRead };
        this.limitLog.record(`${port} closed ${closed.stage}`, fields);
    }

    /** Takes note that a request that was read whole ends without a whole answer, and not by its caller. */
    private recordUnanswered(req: UnansweredRequest): void {
        const kind = req.hasBegun ? "requests_cut" : "requests_unanswered";
        this.metrics.add(kind);
        this.unansweredLog.record(kind, req);
    }

    private createStatusPorts(): readonly StatusPort[] {
        const { cfg, adapter, callerLimits: limits } = this;
        const getGuard = (port: string) => ({
            limits,
            onLimit: (limit: CallerLimit) => this.recordLimit(port, limit),
            onClose: (closed: ClosedConnection) => this.recordClosed(port, closed),
        });
        return [
            new StatusPort({
                ...parseAddress(cfg.readiness),
                ...getGuard("readiness"),
                answer: (method, url) => adapter.handleReadinessRequest(method, url, this.view),
            }),
            new StatusPort({
                ...parseAddress(cfg.directory),
                ...getGuard("directory"),
                answer: (method, url) =>
                    adapter.handleDirectoryRequest(method, url, this.getView(adapter.decodeDirectoryQuery(url))),
            }),
            new StatusPort({
                ...parseAddress(cfg.metrics),
                ...getGuard("metrics"),
                answer: async (_method, url) => await this.handleOperatorRequest(url.pathname),
            }),
        ];
    }

    private async handleOperatorRequest(path: string): Promise<StatusPortResponse> {
        switch (path) {
            case METRICS_PATH:
                Object.entries(this.freshness.gauges).forEach(([name, value]) => this.metrics.set(name, value));
                this.metrics.set("held_response_bytes", this.relay.heldResponseBytes);
                this.metrics.set("held_request_bytes", this.callerPort.heldRequestBytes);
                this.metrics.set("caller_connections", this.callerPort.guardView.connections);
                this.metrics.set("unfinished_request_bytes", this.callerPort.guardView.readingBytes);
                this.metrics.set("handed_off_held_bytes", this.handoff.heldBytes);
                return { status: 200, body: await this.metrics.getText() };
            case STATE_PATH:
                return { status: 200, contentType: "application/json", body: JSON.stringify(this.state) };
            default:
                return { status: HTTP_NOT_FOUND };
        }
    }

    private async open(): Promise<void> {
        const { cfg, documents, hub, log } = this;
        documents.onChange(() => this.callerPort.updateBounds());
        documents.onChange(({ document }) => {
            const prepaid = (document.teams ?? []).filter(team => team.prepaidTokens !== undefined);
            void this.budgets.register(prepaid.map(({ name }) => name));
        });
        this.directory.onChange(() => this.sending.port.keepOnly(this.directory.list().map(state => state.target)));
        this.health.onChange(available =>
            log.write(available ? "KV service available again" : "KV service lost", { silentMs: this.health.silentMs })
        );
        this.kv.history.onRestore(era => {
            this.metrics.add("kv_restores");
            log.write("KV service came back from an older copy", { era });
        });
        const evacuations = new EvacuationFollower({
            zones: this.evacuated,
            codec: this.adapter.documentCodec,
            hub,
            health: this.health,
            history: this.kv.history,
            log,
        });
        evacuations.start();
        new DocumentFollower({
            evacuations,
            watch: this.watch,
            hub,
            codec: this.adapter.documentCodec,
            holder: documents,
            log,
        }).start();
        startOverloadWatch({
            meter: this.delays,
            guard: this.overload,
            getReadRequests: () => this.callerPort.readRequests,
            log,
        });
        this.freshness.start();
        this.follower.start();
        this.budgets.serve();
        this.permits.serve();
        this.room.serve();
        this.loadSharing?.serve();
        void this.loadSharing?.run();
        this.waiting?.demand.serve();
        this.sending.serve();
        this.origins.serve();
        this.directory.onChange(() => this.origins.shareMixed());
        void this.versionRecord.run();
        this.parts.serve();
        void this.decisions.load().then(decisions => this.parts.receive(decisions, "kv"));
        hub.setPeerAddresses(cfg.seeds.map(parseAddress));
        this.handoff.start();
        await this.handoffPort?.start();
        await Promise.all([this.callerPort, ...this.statusPorts].map(port => port.start()));
        log.write("instance started", {
            instance: cfg.instance,
            incarnation: hub.self().incarnation,
            maxConnections: this.callerLimits.maxConnections,
            maxStatusConnections: this.callerLimits.maxStatusConnections,
        });
        this.announceReady();
    }

    private announceReady(): void {
        const timer = setInterval(() => {
            if (this.isReady) {
                clearInterval(timer);
                this.hub.updateSelf({ state: "live" });
                this.resolveReady();
                this.log.write("instance ready", { document: this.documents.version });
            }
        }, POLL_INTERVAL_MS);
    }

    private async releaseBudgets(): Promise<void> {
        while (!await this.budgets.releaseOwnership()) {
            await sleep(BUDGET_RELEASE_INTERVAL_MS);
        }
    }

    private async stopOnce({ hasFailed }: { readonly hasFailed: boolean; }): Promise<void> {
        const { cfg, log } = this;
        const startedAtMs = performance.now();
        const stopMs = cfg.stopWithinS * MS_PER_S;
        const window = StopWindow.open({
            startedAtMs,
            lengthMs: stopMs * STOP_TIME_SHARE,
            addressLifetimeMs: hasFailed ? 0 : ADDRESS_TTL_FACTOR * cfg.addressTtlS * MS_PER_S,
        });
        if (hasFailed) {
            window.close();
        }
        log.write("instance leaving", { openRequests: this.relay.openRequests, hasFailed });
        this.relay.limitTo(window);
        this.waiting?.gate.close();
        this.hub.updateSelf({ state: "leaving" });
        this.callerPort.drain();
        this.handoff.stop(window);
        this.handoffPort?.leave();
        if (!hasFailed) {
            void this.releaseBudgets();
        }
        await waitUntilDrained({
            window,
            getOpenExchanges: () =>
                this.callerPort.openExchanges + this.sending.forwardedSends.size + this.handoff.openConnections,
            stopAccepting: () => this.callerPort.stopAccepting(),
        });
        const openRequests = this.relay.expireOpenRequests();
        this.handoff.closeAll();
        this.handoffPort?.close();
        const unsentResponses = await this.callerPort.close(stopMs * FLUSH_TIME_SHARE);
        log.write("instance stopped", {
            openRequests,
            unsentResponses,
            lastAcceptedMs: Math.max(0, Math.round(this.relay.lastAcceptedAtMs - startedAtMs)),
            ms: Math.round(performance.now() - startedAtMs),
        });
        this.statusPorts.forEach(port => port.close());
        await Promise.race([this.hub.close(), sleep(POLL_INTERVAL_MS)]);
    }
}
