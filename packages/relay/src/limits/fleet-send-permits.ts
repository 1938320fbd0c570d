import type { PeerHub } from "@ospreyreel/peer";
import type { InstanceInfo, SendPermitResponse, TargetLimitSighting } from "@ospreyreel/types";
import { ResponsibleInstances } from "../instance/responsible-instances.js";
import type { RelayLog } from "../relay-log.js";
import type { TargetDirectory } from "../targets/target-directory.js";
import type { TargetOutcome } from "../targets/target-port.js";
import type { TargetState } from "../targets/target-state.js";
import { getStartKey } from "../targets/target.js";
import type { ColdTargets } from "./cold-targets.js";
import { FleetContact } from "./fleet-contact.js";
import { KeeperTenure } from "./keeper-tenure.js";
import { PermitKeeper } from "./permit-keeper.js";
import { SendPermits } from "./send-permits.js";

/** Options of {@link FleetSendPermits}. */
export interface FleetSendPermitsOptions {
    readonly hub: PeerHub;
    readonly directory: Pick<TargetDirectory, "list" | "findStart">;
    /** Share of the fleet that is in contact with this instance, itself included; 0 to 1. */
    readonly getReachableShare: () => number;
    /** Tells which targets are cold; none is by default. */
    readonly cold?: Pick<ColdTargets, "getSharedLimit">;
    readonly log: RelayLog;
    /** Adds one to a counter. */
    readonly count: (name: string) => void;
    /** Monotonic time in milliseconds; `performance.now` by default. */
    readonly nowMs?: () => number;
}

/** Timeout of a request to the keeper of a limit, in milliseconds: some round trips within a region. */
const ACQUIRE_TIMEOUT_MS = 100;

/** Time for which a target gets no requests from here after its keeper did not respond, in milliseconds. */
const KEEPER_RETRY_MS = 500;

/** Timeout of a report, in milliseconds. */
const TELL_TIMEOUT_MS = 500;

/** Maximum number of peers that are told at the same time. */
const MAX_CONCURRENT = 16;

/** Time between two looks at this instance's own state, in milliseconds. */
const OWN_STATE_INTERVAL_MS = 500;

const HTTP_OK_FROM = 200;
const HTTP_OK_BELOW = 300;

/**
 * Keeps the sends of all instances together within the limits that targets name, and that hold while they are cold. One instance, chosen for each target by
 * rendezvous, hands out the sends; an instance that cannot reach it sends nothing to that target.
 */
export class FleetSendPermits extends SendPermits {
    private readonly keeper: PermitKeeper;
    private readonly keepers: ResponsibleInstances;
    private readonly contact: FleetContact;
    private readonly tenure: KeeperTenure;
    private readonly nowMs: () => number;

    constructor(private readonly opts: FleetSendPermitsOptions) {
        super();
        const { hub, getReachableShare, nowMs = () => performance.now() } = opts;
        this.nowMs = nowMs;
        this.keepers = new ResponsibleInstances({ hub, nowMs });
        const contact = new FleetContact({ hub, nowMs });
        this.contact = contact;
        this.tenure = new KeeperTenure({ keepers: this.keepers, contact, nowMs });
        this.keeper = new PermitKeeper({ nowMs, getReachableShare, getColdShare: () => contact.share });
    }

    /** Starts responding to other instances. */
    serve(): void {
        const { hub } = this.opts;
        hub.handle("limits.acquire", ({ limit }) => Promise.resolve(this.acquireAsKeeper(limit)));
        hub.handle("limits.tell", ({ limits }, from) => {
            limits.forEach(limit => this.receive(limit, from.instance));
            return Promise.resolve({});
        });
        setInterval(() => this.contact.noticeOwnState(), OWN_STATE_INTERVAL_MS).unref();
        void hub.changes().observe(({ kind, info }) => {
            if (kind === "joined") {
                void this.informPeer(info);
            }
        });
    }

    override async acquire(state: TargetState): Promise<boolean> {
        const sighting = this.getSighting(state);
        if (sighting.perS === undefined && sighting.cold === undefined) {
            return true;
        }
        const response = await this.acquireFromKeeper(sighting);
        if (response === undefined) {
            this.opts.count("send_permits_failed");
            state.limit.block(this.nowMs() + KEEPER_RETRY_MS);
            return false;
        }
        this.applyLocally(state, response.limit, "keeper");
        if (!response.granted) {
            this.opts.count(response.limit.cold === undefined ? "send_permits_refused" : "cold_permits_refused");
            state.limit.block(this.nowMs() + response.waitMs);
        }
        return response.granted;
    }

    override release(): void {
        // A limit counts sends by when they begin.
    }

    override recordOutcome(state: TargetState, outcome: TargetOutcome, startedAtMs: number): void {
        if (outcome.kind !== "answer" && outcome.kind !== "not_run") {
            return;
        }
        this.recordCold(state, outcome.notes?.coldMs);
        const { limit } = state;
        const named = outcome.notes?.limit;
        if (named !== undefined) {
            if (named.perS === undefined) {
                this.opts.log.write("target limit not readable", { target: state.target.id });
                return;
            }
            this.report(state, named.perS);
            return;
        }
        const isOk = outcome.kind === "answer" && outcome.head.status >= HTTP_OK_FROM
            && outcome.head.status < HTTP_OK_BELOW;
        // Responses may overtake each other; one to a request that was sent after the limit was seen does not.
        if (isOk && limit.perS !== undefined && startedAtMs >= limit.lastSeenAtMs) {
            this.report(state, undefined);
        }
    }

    private async acquireFromKeeper(limit: TargetLimitSighting): Promise<SendPermitResponse | undefined> {
        const { hub, log } = this.opts;
        const [keeper] = this.keepers.choose(limit.target);
        if (keeper === undefined || keeper.instance === hub.self().instance) {
            return this.acquireAsKeeper(limit);
        }
        try {
            return await hub.request(keeper.incarnation, "limits.acquire", { limit }, ACQUIRE_TIMEOUT_MS);
        }
        catch (err) {
            log.write("send not acquired", { target: limit.target, peer: keeper.instance, cause: String(err) });
            return undefined;
        }
    }

    /** Takes a send here; sends to cold targets only once no other instance hands them out any more. */
    private acquireAsKeeper(limit: TargetLimitSighting): SendPermitResponse {
        const isCold = limit.cold !== undefined || this.keeper.isCold(limit.target);
        const waitMs = isCold ? this.tenure.getWaitMs(limit.target) : 0;
        if (waitMs === 0) {
            return this.keeper.acquire(limit);
        }
        this.keeper.apply(limit);
        return { granted: false, waitMs, limit: this.keeper.getSighting(limit) };
    }

    /** Applies how long a target says that it is cold, and reports it to the keeper where that is news. */
    private recordCold(state: TargetState, coldMs = 0): void {
        if (coldMs > 0 && state.cold.recordTold(this.nowMs() + coldMs)) {
            this.opts.log.write("target cold", { target: state.target.id, source: "response", ms: Math.round(coldMs) });
            this.tellKeeper(this.getSighting(state));
        }
    }

    /** Applies what a response to this instance said, and reports a change to the keeper. */
    private report(state: TargetState, perS: number | undefined): void {
        const sighting = { target: getStartKey(state.target), perS, msAgo: 0 };
        if (this.applyLocally(state, sighting, "response")) {
            this.tellKeeper(sighting);
        }
    }

    private tellKeeper(sighting: TargetLimitSighting): void {
        const { hub } = this.opts;
        const [keeper] = this.keepers.choose(sighting.target);
        if (keeper === undefined || keeper.instance === hub.self().instance) {
            this.keep(sighting);
        }
        else {
            void this.tell(keeper, [sighting]);
        }
    }

    private receive(sighting: TargetLimitSighting, source: string): void {
        const state = this.opts.directory.findStart(sighting.target);
        if (state !== undefined) {
            this.applyLocally(state, sighting, source);
        }
        if (this.keepers.isFirst(sighting.target)) {
            this.keep(sighting);
        }
    }

    /** Applies a sighting as the keeper of its limit, and tells all others when the limit starts or ends. */
    private keep(sighting: TargetLimitSighting): void {
        const change = this.keeper.apply(sighting);
        if (change === "started" || change === "ended" || change === "cold") {
            void this.tellAll(sighting);
        }
    }

    private async tellAll(sighting: TargetLimitSighting): Promise<void> {
        const pending = [...this.opts.hub.peers()];
        const work = async (): Promise<void> => {
            for (let peer = pending.pop(); peer !== undefined; peer = pending.pop()) {
                await this.tell(peer, [sighting]);
            }
        };
        await Promise.all([...Array(Math.min(MAX_CONCURRENT, pending.length)).keys()].map(work));
    }

    private async tell(peer: InstanceInfo, limits: readonly TargetLimitSighting[]): Promise<void> {
        const { hub, log } = this.opts;
        try {
            await hub.request(peer.incarnation, "limits.tell", { limits }, TELL_TIMEOUT_MS);
        }
        catch (err) {
            // It learns the limit from its next response of the target.
            log.write("limit not reported", { peer: peer.instance, cause: String(err) });
        }
    }

    /** Tells an instance that joins the limits in force; it may be their keeper from now on. */
    private async informPeer(joined: InstanceInfo): Promise<void> {
        const self = this.opts.hub.self().instance;
        const limits = this.opts.directory.list()
            .map(state => this.getSighting(state))
            .filter(({ perS, cold }) => perS !== undefined || cold !== undefined)
            .filter(({ target }) => this.keepers.choose(target).some(({ instance }) => instance === self));
        if (limits.length > 0) {
            await this.tell(joined, limits);
        }
    }

    private getSighting(state: TargetState): TargetLimitSighting {
        const { target, limit } = state;
        const sighting = {
            target: getStartKey(target),
            perS: limit.perS,
            msAgo: this.nowMs() - limit.lastSeenAtMs,
        };
        const cold = this.opts.cold?.getSharedLimit(state);
        return cold === undefined ? sighting : { ...sighting, cold };
    }

    private applyLocally(
        state: TargetState,
        { perS, msAgo, cold }: TargetLimitSighting,
        source: string,
    ): boolean {
        if (cold !== undefined && state.cold.recordTold(this.nowMs() + cold.leftMs) && source !== "keeper") {
            this.opts.log.write("target cold", { target: state.target.id, source, ms: Math.round(cold.leftMs) });
        }
        const before = state.limit.perS;
        const isChanged = state.limit.apply(perS, this.nowMs() - msAgo);
        if ((before === undefined) !== (state.limit.perS === undefined)) {
            const event = perS === undefined ? "target limit ended" : "target limit named";
            this.opts.log.write(event, { target: state.target.id, source, ...(perS === undefined ? {} : { perS }) });
        }
        return isChanged;
    }
}
