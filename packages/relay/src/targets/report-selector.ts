import { BoundedMap } from "../bounded-map.js";
import { getExpectedLoad } from "../load/expected-load.js";
import { getHeldTokens } from "../load/own-sends.js";
import type { TargetLoads } from "../load/target-loads.js";
import type { TargetSpeed } from "../load/target-speeds.js";
import { PartDemand } from "../policy/part-demand.js";
import {
    type Placement,
    type PlacementField,
    ReportPlacement,
    type TargetNumbers,
} from "../policy/report-placement.js";
import type { RelayLog } from "../relay-log.js";
import type { RelayRequest } from "../relay-request.js";
import { ServiceLoads } from "./service-loads.js";
import type { ServiceTargets } from "./target-directory.js";
import type { TargetState } from "./target-state.js";
import type { Target } from "./target.js";

/** Options of {@link ReportSelector}. */
export interface ReportSelectorOptions {
    readonly loads: TargetLoads;
    /** Measured speed of a target. */
    readonly getSpeed: (target: Target) => TargetSpeed;
    /** Mean time for which sends to a service are open, in milliseconds. */
    readonly getHoldMs: (service: string) => number;
    /** Whether a connection to a target is open and idle. */
    readonly hasIdleConnection: (target: Target, isRepeatable: boolean) => boolean;
    /** Number of instances of the fleet. */
    readonly getInstances: () => number;
    readonly availabilityZone: string;
    readonly log: RelayLog;
    /** Adds one to a counter. */
    readonly count: (name: string) => void;
    /** Returns a random number in [0, 1). */
    readonly random: () => number;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
}

/** A request for which a target is selected. */
export interface ReportedSelection {
    readonly req: RelayRequest;
    readonly service: string;
    readonly targets: ServiceTargets;
    /** The prompt part that decides the placement; undefined without affinity. */
    readonly part: string | undefined;
    readonly isRepeatable: boolean;
    /** Whether the request may be sent to a target now. */
    readonly isAllowed: (state: TargetState) => boolean;
}

/** Placement by reports at one service in the state dump. */
export interface ServicePlacementView {
    readonly service: string;
    /** Share of the targets with a report that counts. */
    readonly knownShare: number;
    /** Mean of requests by slots. */
    readonly utilization: number;
    /** Speeds of the targets relative to their median, by id. */
    readonly speeds: Readonly<Record<string, number>>;
}

/** Time for which the mean load of a service's targets is used again, in milliseconds: that between two reports. */
const LOADS_TTL_MS = 500;

/** Time for which the relative speeds of all targets of a service are used again, in milliseconds. */
const SPEEDS_TTL_MS = 5_000;

/** Share of the targets with reports below which requests are placed as without reports. */
const MIN_KNOWN_SHARE = 0.5;

/** Fewest shared prompt tokens that are worth an uneven load or a new connection: less saves some milliseconds only. */
const MIN_SHARED_TOKENS = 512;

/** Targets at which a prompt part is looked for, in its order. */
const ORDER_LENGTH = 16;

/** Weight of the newest value in a moving mean. */
const NEWEST_WEIGHT = 0.05;

/** Targets sent to lately that are looked at. */
const RECENT_TARGETS = 2;

/** Targets sent to lately that are remembered. */
const MAX_RECENT = 6;

/** Maximum number of services, and of orders of targets, that are kept. */
const MAX_SERVICES = 256;
const MAX_ORDERS = 2_048;

interface ServicePlacement {
    readonly loads: ServiceLoads;
    readonly updatedAtMs: number;
    readonly computedAtMs: number;
    readonly orders: BoundedMap<readonly number[]>;
    /** Mean of the tokens that requests hold. */
    readonly tokens: MeanValue;
    /** The last one first. */
    readonly recent: TargetState[];
}

/** Selects targets by their loads over all instances, with a cost that grows with the number of targets only for hashing. */
export class ReportSelector {
    private readonly placement: ReportPlacement;
    private readonly services = new BoundedMap<ServicePlacement>(MAX_SERVICES);
    private readonly demand = new PartDemand();

    constructor(private readonly opts: ReportSelectorOptions) {
        this.placement = new ReportPlacement(opts.random);
    }

    /** State for operators. */
    get view(): readonly ServicePlacementView[] {
        return this.services.list().map(([service, { loads }]) => ({
            service,
            knownShare: loads.knownShare,
            utilization: loads.utilization,
            speeds: Object.fromEntries(
                loads.targets.states.map(({ target }, index) => [target.id, loads.speeds[index] ?? 1]),
            ),
        }));
    }

    /** Returns a target; undefined where too few reports are known, or none of the targets that were looked at may get the request. */
    select(selection: ReportedSelection): TargetState | undefined {
        const service = this.getService(selection);
        if (service.loads.knownShare < MIN_KNOWN_SHARE) {
            this.opts.count("placements_without_reports");
            return undefined;
        }
        service.tokens.add(getHeldTokens(selection.req));
        const chosen = this.placement.choose(this.createField(selection, service));
        if (chosen === undefined) {
            return undefined;
        }
        const state = service.loads.targets.states[chosen.index];
        this.record(chosen, service, state);
        return state;
    }

    private record({ kind, numbers }: Placement, { recent }: ServicePlacement, state: TargetState | undefined): void {
        const { count } = this.opts;
        count(`placements_${kind}`);
        if (!numbers.fitsMemory) {
            count("placements_over_memory");
        }
        else if (!numbers.hasFreeSlot) {
            count("placements_without_slot");
        }
        if (state !== undefined) {
            const known = recent.indexOf(state);
            recent.splice(known < 0 ? MAX_RECENT - 1 : known, 1);
            recent.unshift(state);
        }
    }

    private createField(selection: ReportedSelection, service: ServicePlacement): PlacementField {
        const { loads, recent } = service;
        const { states } = loads.targets;
        const { isAllowed, isRepeatable } = selection;
        const part = getSharedTokens(selection.req) < MIN_SHARED_TOKENS ? undefined : selection.part;
        const known = new Map<number, TargetNumbers>();
        return {
            count: states.length,
            utilization: loads.utilization,
            meanSlots: loads.meanSlots,
            order: part === undefined ? [] : this.getOrder(service, part),
            partRequests: part === undefined ? 0 : this.getPartRequests(selection.service, part),
            recent: recent.filter(state => this.opts.hasIdleConnection(state.target, isRepeatable))
                .map(state => loads.getIndex(state))
                .filter(index => index !== undefined)
                .slice(0, RECENT_TARGETS),
            isAllowed: index => {
                const state = states[index];
                return state !== undefined && isAllowed(state);
            },
            getNumbers: index => {
                const numbers = known.get(index) ?? this.getNumbers(selection, service, index);
                known.set(index, numbers);
                return numbers;
            },
            pick: of => loads.pick(of, this.opts.random()),
        };
    }

    private getNumbers(
        { req, isRepeatable }: ReportedSelection,
        { loads, tokens }: ServicePlacement,
        index: number,
    ): TargetNumbers {
        const state = loads.targets.states[index];
        if (state === undefined) {
            throw new RangeError(`no target ${index}`);
        }
        const { target, health, inFlight } = state;
        const { nowMs, availabilityZone, hasIdleConnection } = this.opts;
        const slots = Math.max(1, target.slots);
        const holdMs = this.opts.getHoldMs(target.service);
        const expected = getExpectedLoad(this.opts.loads.get(target), {
            slots,
            usual: Math.max(inFlight, loads.utilization * slots),
            tokensPerRequest: tokens.value,
            holdMs,
        });
        return {
            requests: expected.requests,
            deviation: expected.deviation,
            slots,
            speed: loads.speeds[index] ?? 1,
            hasFreeSlot: !health.isFull(nowMs()) && expected.hasFreeSlot,
            fitsMemory: getHeldTokens(req) <= expected.freeTokens,
            isNear: target.availabilityZone === availabilityZone,
            hasIdleConnection: hasIdleConnection(target, isRepeatable),
            errorShare: health.errorShare,
        };
    }

    /** Requests with a part that are at targets at the same time, expected from this instance's own. */
    private getPartRequests(service: string, part: string): number {
        const { getInstances, getHoldMs, nowMs } = this.opts;
        return this.demand.record(`${service} ${part}`, nowMs()) * getInstances() * getHoldMs(service);
    }

    private getOrder({ loads, orders }: ServicePlacement, part: string): readonly number[] {
        const known = orders.get(part);
        if (known !== undefined) {
            return known;
        }
        const order = getFirst(loads.targets.scores.getScores(part), ORDER_LENGTH);
        orders.set(part, order);
        return order;
    }

    private getService({ service, targets }: ReportedSelection): ServicePlacement {
        const known = this.services.get(service);
        const nowMs = this.opts.nowMs();
        const isSame = known !== undefined && known.loads.targets === targets;
        if (isSame && nowMs - known.updatedAtMs < LOADS_TTL_MS) {
            return known;
        }
        const isCurrent = isSame && nowMs - known.computedAtMs < SPEEDS_TTL_MS;
        const loads = isCurrent
            ? known.loads
            : new ServiceLoads({ ...this.opts, targets, getSpeed: ({ target }) => this.opts.getSpeed(target) });
        const before = known?.loads.knownShare ?? 0;
        loads.update(this.opts.getHoldMs(service));
        const placement = {
            loads,
            updatedAtMs: nowMs,
            computedAtMs: isCurrent ? known.computedAtMs : nowMs,
            orders: isSame ? known.orders : new BoundedMap<readonly number[]>(MAX_ORDERS),
            recent: known?.recent ?? [],
            tokens: known?.tokens ?? new MeanValue(),
        };
        this.services.set(service, placement);
        this.logChange(service, before, loads.knownShare);
        return placement;
    }

    private logChange(service: string, before: number, knownShare: number): void {
        if ((before < MIN_KNOWN_SHARE) !== (knownShare < MIN_KNOWN_SHARE)) {
            const event = knownShare < MIN_KNOWN_SHARE ? "placement without reports" : "placement by reports";
            this.opts.log.write(event, { service, knownShare });
        }
    }
}

/** A moving mean. */
class MeanValue {
    private mean: number | undefined;

    /** The mean; 0 before the first value. */
    get value(): number {
        return this.mean ?? 0;
    }

    add(value: number): void {
        const before = this.mean ?? value;
        this.mean = before + NEWEST_WEIGHT * (value - before);
    }
}

/** Prompt tokens that other requests may have, too. */
const getSharedTokens = ({ generation }: RelayRequest): number =>
    (generation?.parts ?? []).slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);

/** Indexes of the highest scores, the highest first. */
const getFirst = (scores: Uint32Array, count: number): readonly number[] => {
    const first: number[] = [];
    scores.forEach((score, index) => {
        if (first.length === count && score <= (scores[first[count - 1] ?? 0] ?? 0)) {
            return;
        }
        let at = first.length;
        while (at > 0 && score > (scores[first[at - 1] ?? 0] ?? 0)) {
            at -= 1;
        }
        first.splice(at, 0, index);
        first.length = Math.min(first.length, count);
    });
    return first;
};
