import type { PeerHub } from "@ospreyreel/peer";
import type { InstanceInfo, SendPermitResponse, TargetLimitSighting } from "@ospreyreel/types";
import { ResponsibleInstances } from "../instance/responsible-instances.js";
import type { RelayLog } from "../relay-log.js";
import type { TargetDirectory } from "../targets/target-directory.js";
import type { TargetOutcome } from "../targets/target-port.js";
import type { TargetState } from "../targets/target-state.js";
import { getStartKey } from "../targets/target.js";
import { PermitKeeper } from "./permit-keeper.js";
import { SendPermits } from "./send-permits.js";

/** Options of {@link FleetSendPermits}. */
export interface FleetSendPermitsOptions {
    readonly hub: PeerHub;
    readonly directory: Pick<TargetDirectory, "list" | "findStart">;
    /** Share of the fleet that is in contact with this instance, itself included; 0 to 1. */
    readonly getReachableShare: () => number;
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

const HTTP_OK_FROM = 200;
const HTTP_OK_BELOW = 300;

/**
 * Keeps the sends of all instances together within the limits that targets name. One instance, chosen for each target by
 * rendezvous, hands out the sends; an instance that cannot reach it sends nothing to that target.
 */
export class FleetSendPermits extends SendPermits {
    private readonly keeper: PermitKeeper;
    private readonly keepers: ResponsibleInstances;
    private readonly nowMs: () => number;

    constructor(private readonly opts: FleetSendPermitsOptions) {
        super();
        const { hub, getReachableShare, nowMs = () => performance.now() } = opts;
        this.nowMs = nowMs;
        this.keepers = new ResponsibleInstances({ hub, nowMs });
        this.keeper = new PermitKeeper({ nowMs, getReachableShare });
    }

    /** Starts responding to other instances. */
    serve(): void {
        const { hub } = this.opts;
        hub.handle("limits.acquire", ({ limit }) => Promise.resolve(this.keeper.acquire(limit)));
        hub.handle("limits.tell", ({ limits }, from) => {
            limits.forEach(limit => this.receive(limit, from.instance));
            return Promise.resolve({});
        });
        void hub.changes().observe(({ kind, info }) => {
            if (kind === "joined") {
                void this.informPeer(info);
            }
        });
    }

    override async acquire(state: TargetState): Promise<boolean> {
        if (state.limit.perS === undefined) {
            return true;
        }
        const sighting = this.getSighting(state);
        const response = await this.acquireFromKeeper(sighting);
        if (response === undefined) {
            this.opts.count("send_permits_failed");
            state.limit.block(this.nowMs() + KEEPER_RETRY_MS);
            return false;
        }
        this.applyLocally(state, response.limit, "keeper");
        if (!response.granted) {
            this.opts.count("send_permits_refused");
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
            return this.keeper.acquire(limit);
        }
        try {
            return await hub.request(keeper.incarnation, "limits.acquire", { limit }, ACQUIRE_TIMEOUT_MS);
        }
        catch (err) {
            log.write("send not acquired", { target: limit.target, peer: keeper.instance, cause: String(err) });
            return undefined;
        }
    }

    /** Applies what a response to this instance said, and reports a change to the keeper. */
    private report(state: TargetState, perS: number | undefined): void {
        const sighting = { target: getStartKey(state.target), perS, msAgo: 0 };
        if (!this.applyLocally(state, sighting, "response")) {
            return;
        }
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
        if (change === "started" || change === "ended") {
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
            .filter(({ limit }) => limit.perS !== undefined)
            .map(state => this.getSighting(state))
            .filter(({ target }) => this.keepers.choose(target).some(({ instance }) => instance === self));
        if (limits.length > 0) {
            await this.tell(joined, limits);
        }
    }

    private getSighting({ target, limit }: TargetState): TargetLimitSighting {
        return { target: getStartKey(target), perS: limit.perS, msAgo: this.nowMs() - limit.lastSeenAtMs };
    }

    private applyLocally(state: TargetState, { perS, msAgo }: TargetLimitSighting, source: string): boolean {
        const before = state.limit.perS;
        const isChanged = state.limit.apply(perS, this.nowMs() - msAgo);
        if ((before === undefined) !== (state.limit.perS === undefined)) {
            const event = perS === undefined ? "target limit ended" : "target limit named";
            this.opts.log.write(event, { target: state.target.id, source, ...(perS === undefined ? {} : { perS }) });
        }
        return isChanged;
    }
}
