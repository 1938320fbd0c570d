/** Placement inputs of one target, by its load over all instances. */
export interface TargetNumbers {
    /** Requests that it works on or that wait at it. */
    readonly requests: number;
    /** Standard deviation of that number, since reports are some time old. */
    readonly deviation: number;
    /** Requests that it handles concurrently. */
    readonly slots: number;
    /** Relative to the others of its service. */
    readonly speed: number;
    /** Whether it has a free slot and none waits for one. */
    readonly hasFreeSlot: boolean;
    /** Whether its memory can hold the request beside what it holds and what is on its way to it. */
    readonly fitsMemory: boolean;
    /** Whether it is in this instance's availability zone. */
    readonly isNear: boolean;
    /** Whether a connection to it is open and idle. */
    readonly hasIdleConnection: boolean;
    /** Share of recent responses that were errors, 0 to 1. */
    readonly errorShare: number;
}

/** The targets of a service, by index; a decision looks at a few of them only. */
export interface PlacementField {
    /** Number of targets. */
    readonly count: number;
    /** Mean of requests by slots. */
    readonly utilization: number;
    /** Mean number of slots. */
    readonly meanSlots: number;
    /** Targets in the order of preference for the request's prompt part; empty without one, and not always complete. */
    readonly order: readonly number[];
    /** Requests with this prompt part that are at targets at the same time, over all instances. */
    readonly partRequests: number;
    /** Targets that this instance has sent to lately, the last one first. */
    readonly recent: readonly number[];
    /** Whether the request may be sent to a target now. */
    readonly isAllowed: (index: number) => boolean;
    readonly getNumbers: (index: number) => TargetNumbers;
    /** A target of a group at random, by slots and speed; undefined where there is none. */
    readonly pick: (of: TargetGroup) => number | undefined;
}

/** A part of the targets: those of this instance's zone or the others, or all with a free slot. */
export type TargetGroup = "near" | "far" | "free";

/** How a target was chosen. */
export type PlacementKind = "affinity" | "hot_part" | "least_loaded";

/** A chosen target. */
export interface Placement {
    readonly index: number;
    readonly kind: PlacementKind;
    readonly numbers: TargetNumbers;
}

/** Bound of consistent hashing with bounded loads, as a factor of the mean load and in requests. */
const LOAD_FACTOR = 1.25;
const SLACK_REQUESTS = 2;

/**
 * Width of the range of loads below the bound in which a part's target is left for the next one more and more often, as a share of its slots. With one limit, all
 * instances would leave it and come back together at each report.
 */
const SOFT_SHARE = 0.15;

/**
 * Share of the slots up to which a prompt part stays at its target, however few requests the others have: reading a part again costs an
 * engine more than the longer steps of so many requests.
 */
const AFFINITY_SLOT_SHARE = 0.6;

/** Weight of the error share in a target's cost. */
const ERROR_WEIGHT = 4;

/** A near target is preferred over a far one up to this difference in load, as a share of the slots: crossing costs some milliseconds. */
const FAR_COST = 0.15;

/** A target with an idle connection is preferred up to this difference, as a new one costs the target and a round trip. */
const CONNECT_COST = 0.1;

/** Costs by which a target without a free slot, or without memory for the request, comes after all others. */
const NO_SLOT_COST = 100;
const NO_MEMORY_COST = 10_000;

/** Targets of a zone that are compared: the choice of the better of two keeps instances with the same old reports apart. */
const CHOICES = 2;

/** Attempts to find a target with a free slot where the compared ones have none. */
const FREE_CHOICES = 2;

/** Attempts to pick a target that is allowed and not compared yet. */
const PICKS_PER_CHOICE = 2;

/** Width of an even distribution by its standard deviation. */
const EVEN_WIDTH = Math.sqrt(12);

/**
 * Places requests by the loads of targets over all instances, which are up to 3 s old and the same at all of them. A prompt part goes to the first target
 * in its order that is not overloaded, and to more targets in that order where its demand needs them. Other requests go to the best of a few targets.
 */
export class ReportPlacement {
    /** `random` returns a number in [0, 1). */
    constructor(private readonly random: () => number) {}

    /** Chooses a target; undefined where none of those that were looked at may get the request. */
    choose(field: PlacementField): Placement | undefined {
        return this.chooseByPart(field) ?? this.chooseLeastLoaded(field);
    }

    private chooseByPart(field: PlacementField): Placement | undefined {
        const { order } = field;
        if (order.length === 0) {
            return undefined;
        }
        const spread = Math.min(order.length, getSpread(field));
        const kind = spread > 1 ? "hot_part" : "affinity";
        for (const index of [...this.chooseRanks(field, spread), ...order.slice(spread)]) {
            const numbers = field.isAllowed(index) ? field.getNumbers(index) : undefined;
            if (numbers !== undefined && this.accepts(field, numbers)) {
                return { index, kind, numbers };
            }
        }
        return undefined;
    }

    /** The better of two of the part's targets, then the other one. */
    private chooseRanks({ order, isAllowed, getNumbers }: PlacementField, spread: number): readonly number[] {
        if (spread === 1) {
            return order.slice(0, 1);
        }
        const first = Math.floor(this.random() * spread);
        const second = (first + 1 + Math.floor(this.random() * (spread - 1))) % spread;
        return [first, second].map(rank => order[rank] ?? 0)
            .filter(isAllowed)
            .map(index => ({ index, cost: this.getCost(getNumbers(index)) }))
            .toSorted((a, b) => a.cost - b.cost)
            .map(({ index }) => index);
    }

    /** Whether a target gets one more request for the sake of a prompt part. */
    private accepts({ utilization }: PlacementField, target: TargetNumbers): boolean {
        if (!target.hasFreeSlot || !target.fitsMemory) {
            return false;
        }
        const room = getLoadBound(utilization, target.slots) - target.requests;
        return room / (target.slots * SOFT_SHARE) > this.random();
    }

    private chooseLeastLoaded(field: PlacementField): Placement | undefined {
        const { recent, isAllowed, getNumbers } = field;
        const compared = new Map<number, TargetNumbers>();
        const compare = (index: number | undefined): void => {
            if (index !== undefined && isAllowed(index)) {
                compared.set(index, getNumbers(index));
            }
        };
        for (let pick = 0; pick < CHOICES * PICKS_PER_CHOICE && compared.size < CHOICES; pick++) {
            compare(field.pick("near"));
        }
        const withFar = Math.max(CHOICES, compared.size + 1);
        for (let pick = 0; pick < CHOICES * PICKS_PER_CHOICE && compared.size < withFar; pick++) {
            compare(field.pick("far"));
        }
        recent.forEach(compare);
        const best = this.getBest(compared);
        if (best !== undefined && best.numbers.hasFreeSlot && best.numbers.fitsMemory) {
            return best;
        }
        for (let choice = 0; choice < FREE_CHOICES; choice++) {
            compare(field.pick("free"));
        }
        return this.getBest(compared);
    }

    private getBest(compared: ReadonlyMap<number, TargetNumbers>): Placement | undefined {
        let best: Placement | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        for (const [index, numbers] of compared) {
            const cost = this.getCost(numbers);
            if (cost < bestCost) {
                best = { index, kind: "least_loaded", numbers };
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * Cost of a placement. The less a report tells of the load now, the more it varies at random: all instances would decide alike by the same small difference of
     * old values. A slow target keeps its requests longer, so that equal shares of slots in use give each target work in proportion to its
     * speed; the speed itself counts for the new request only.
     */
    private getCost(target: TargetNumbers): number {
        const possible = Math.max(0, target.requests + (this.random() - 0.5) * EVEN_WIDTH * target.deviation);
        return (possible + 1 / target.speed) / target.slots * (1 + ERROR_WEIGHT * target.errorShare)
            + (target.isNear ? 0 : FAR_COST)
            + (target.hasIdleConnection ? 0 : CONNECT_COST)
            + (target.hasFreeSlot ? 0 : NO_SLOT_COST)
            + (target.fitsMemory ? 0 : NO_MEMORY_COST);
    }
}

/** Requests at a target up to which it is chosen for the sake of a prompt part. */
const getLoadBound = (utilization: number, slots: number): number =>
    Math.max(utilization * slots * LOAD_FACTOR + SLACK_REQUESTS, slots * AFFINITY_SLOT_SHARE);

/** Number of targets that a part's requests need, each up to its share of the load bound. */
const getSpread = ({ partRequests, utilization, meanSlots, count }: PlacementField): number => {
    const ownMean = partRequests / Math.max(1, count);
    const room = getLoadBound(utilization, meanSlots) - utilization * meanSlots + ownMean;
    return Math.max(1, Math.ceil(partRequests / room));
};
