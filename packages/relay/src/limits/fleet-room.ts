import type { PeerHub } from "@ospreyreel/peer";
import type { RoomReport, RoomResponse } from "@ospreyreel/types";
import { ResponsibleInstances } from "../instance/responsible-instances.js";
import type { RelayLog } from "../relay-log.js";
import type { TargetDirectory } from "../targets/target-directory.js";
import type { TargetOutcome } from "../targets/target-port.js";
import type { TargetState } from "../targets/target-state.js";
import { getStartKey } from "../targets/target.js";
import { getMaxRoom, RoomKeeper } from "./room-keeper.js";
import { SendPermits } from "./send-permits.js";

/** Options of {@link FleetRoom}. */
export interface FleetRoomOptions {
    readonly hub: PeerHub;
    readonly directory: Pick<TargetDirectory, "list">;
    /** Share of the fleet that is in contact with this instance, itself included; 0 to 1. */
    readonly getReachableShare: () => number;
    readonly log: RelayLog;
    /** Adds one to a counter. */
    readonly count: (name: string) => void;
    /** Monotonic time in milliseconds; `performance.now` by default. */
    readonly nowMs?: () => number;
}

/** Timeout of a request to the keeper of a target's room, in milliseconds: some round trips within a region. */
const ACQUIRE_TIMEOUT_MS = 100;

const REPORT_TIMEOUT_MS = 500;

/** Interval at which open sends are reported, in milliseconds. */
const REPORT_INTERVAL_MS = 1_000;

/** Time after which an instance without a keeper looks for room again, in milliseconds. */
const OWN_WAIT_MS = 100;

const HTTP_OK_FROM = 200;
const HTTP_OK_BELOW = 300;

/** Since when a service is brittle. */
interface BrittleService {
    /** Rejections a second that its targets bear. */
    readonly rejectionsPerS: number;
    /** Monotonic time of the last response that said so, in milliseconds. */
    readonly seenAtMs: number;
}

/**
 * Keeps the open sends of all instances together within the room of brittle targets, so that they reject next to nothing. One
 * instance, chosen for each target by rendezvous, knows how many are open; without it each instance uses its share.
 */
export class FleetRoom extends SendPermits {
    private readonly services = new Map<string, BrittleService>();
    private readonly keeper: RoomKeeper;
    private readonly keepers: ResponsibleInstances;
    private readonly nowMs: () => number;

    constructor(private readonly opts: FleetRoomOptions) {
        super();
        const { hub, getReachableShare, nowMs = () => performance.now() } = opts;
        this.nowMs = nowMs;
        this.keeper = new RoomKeeper({ nowMs, getReachableShare });
        this.keepers = new ResponsibleInstances({ hub, nowMs });
    }

    /** Starts responding to other instances, and reporting to them. */
    serve(): void {
        const { hub } = this.opts;
        hub.handle("room.acquire", (report, from) => Promise.resolve(this.keeper.acquire(report, from.incarnation)));
        hub.handle("room.report", (report, from) => {
            this.keeper.receive(report, from.incarnation);
            return Promise.resolve({});
        });
        void hub.changes().observe(({ kind, info }) => {
            if (kind === "lost") {
                this.keeper.remove(info.incarnation);
            }
        });
        setInterval(() => this.reportAll(), REPORT_INTERVAL_MS).unref();
    }

    /** Services whose targets break down when they reject requests. */
    get brittleServices(): readonly string[] {
        return [...this.services.keys()];
    }

    override async acquire(state: TargetState): Promise<boolean> {
        const { granted, waitMs } = this.services.has(state.target.service)
            ? await this.acquireFromKeeper(state)
            : grant(state);
        if (!granted) {
            state.waitForRoom(this.nowMs() + waitMs);
            this.opts.count("room_refused");
        }
        return granted;
    }

    override release(state: TargetState): void {
        state.openSends -= 1;
        if (this.services.has(state.target.service)) {
            this.report(state, "released");
        }
    }

    override recordOutcome(state: TargetState, outcome: TargetOutcome, startedAtMs: number): void {
        if (outcome.kind !== "answer" && outcome.kind !== "not_run") {
            return;
        }
        const { service } = state.target;
        const known = this.services.get(service);
        const rejectionsPerS = outcome.notes?.rejectionsPerS;
        if (rejectionsPerS !== undefined) {
            this.services.set(service, { rejectionsPerS, seenAtMs: this.nowMs() });
            if (known === undefined) {
                this.opts.log.write("service brittle", { service, target: state.target.id, rejectionsPerS });
            }
        }
        else if (known !== undefined && isSuccess(outcome) && startedAtMs > known.seenAtMs) {
            this.services.delete(service);
            this.opts.log.write("service brittle no more", { service, target: state.target.id });
        }
        if (outcome.kind === "not_run" && outcome.reason === "full" && this.services.has(service)) {
            this.opts.count("brittle_rejections");
            this.report(state, "rejected");
        }
    }

    /** Reports the open sends at all brittle targets. */
    private reportAll(): void {
        this.opts.directory.list()
            .filter(({ target, openSends }) => openSends > 0 && this.services.has(target.service))
            .forEach(state => this.report(state, "open"));
    }

    private async acquireFromKeeper(state: TargetState): Promise<RoomResponse> {
        const { hub, log } = this.opts;
        const { target: { slots } } = state;
        const req = { target: getStartKey(state.target), slots };
        const [keeper] = this.keepers.choose(req.target);
        if (keeper === undefined || keeper.instance === hub.self().instance) {
            const res = this.keeper.acquire(req, hub.self().incarnation);
            return res.granted ? grant(state) : res;
        }
        try {
            const res = await hub.request(keeper.incarnation, "room.acquire", req, ACQUIRE_TIMEOUT_MS);
            return res.granted ? grant(state) : res;
        }
        catch (err) {
            log.write("room not acquired", { target: state.target.id, peer: keeper.instance, cause: String(err) });
            const share = Math.max(1, Math.floor(getMaxRoom(slots) / this.keepers.count));
            return state.openSends < share ? grant(state) : { granted: false, waitMs: OWN_WAIT_MS };
        }
    }

    private report({ target, openSends }: TargetState, kind: RoomReport["kind"]): void {
        const { hub, log } = this.opts;
        const report: RoomReport = { target: getStartKey(target), slots: target.slots, kind, open: openSends };
        const [keeper] = this.keepers.choose(report.target);
        if (keeper === undefined || keeper.instance === hub.self().instance) {
            this.keeper.receive(report, hub.self().incarnation);
            return;
        }
        hub.request(keeper.incarnation, "room.report", report, REPORT_TIMEOUT_MS)
            .catch((err: unknown) => log.write("room not reported", { peer: keeper.instance, cause: String(err) }));
    }
}

/** Counts a send with the decision, so that sends that are acquired at the same time do not all fit into the same room. */
const grant = (state: TargetState): RoomResponse => {
    state.openSends += 1;
    return { granted: true, waitMs: 0 };
};

const isSuccess = (outcome: TargetOutcome): boolean =>
    outcome.kind === "answer" && outcome.head.status >= HTTP_OK_FROM && outcome.head.status < HTTP_OK_BELOW;
