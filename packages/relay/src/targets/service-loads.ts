import { getExpectedLoad } from "../load/expected-load.js";
import type { TargetLoads } from "../load/target-loads.js";
import type { TargetSpeed } from "../load/target-speeds.js";
import type { TargetGroup } from "../policy/report-placement.js";
import type { ServiceTargets } from "./target-directory.js";
import type { TargetState } from "./target-state.js";

/** Options of {@link ServiceLoads}. */
export interface ServiceLoadsOptions {
    readonly targets: ServiceTargets;
    readonly loads: TargetLoads;
    readonly getSpeed: (state: TargetState) => TargetSpeed;
    readonly availabilityZone: string;
}

/** Bounds of a target's speed relative to the others of its service, so that a wrong one does little harm. */
const MIN_SPEED = 0.33;
const MAX_SPEED = 3;

/** A group of targets with the sums of their capacities, to pick one at random by capacity. */
interface WeightedTargets {
    readonly indexes: readonly number[];
    readonly sums: readonly number[];
}

/** Targets whose loads are read at once; the mean of so many is close to that of all, and the cost does not grow with their number. */
const MAX_READ = 64;

/**
 * What is computed of the targets of a service at once, and used for a short time by placements that look at a few targets each. Speeds are
 * computed once, loads again with each update.
 */
export class ServiceLoads {
    readonly targets: ServiceTargets;
    /** Relative speeds of the targets; 1 where it is not known. */
    readonly speeds: readonly number[];
    readonly meanSlots: number;
    private meanUtilization = 0;
    private reportedShare = 0;
    private nextRead = 0;
    private readonly indexes: ReadonlyMap<TargetState, number>;
    private readonly capacities: readonly number[];
    private readonly groups: Record<TargetGroup, WeightedTargets>;

    constructor(private readonly opts: ServiceLoadsOptions) {
        const { targets, getSpeed, availabilityZone } = opts;
        const { states } = targets;
        this.targets = targets;
        this.speeds = getSpeeds(states.map(getSpeed));
        this.indexes = new Map(states.map((state, index) => [state, index]));
        this.capacities = states.map((state, index) => getSlots(state) * (this.speeds[index] ?? 1));
        this.meanSlots = states.reduce((sum, state) => sum + getSlots(state), 0) / Math.max(1, states.length);
        const all = states.map((_, index) => index);
        const isNear = (index: number): boolean => states[index]?.target.availabilityZone === availabilityZone;
        this.groups = {
            near: weigh(all.filter(isNear), this.capacities),
            far: weigh(all.filter(index => !isNear(index)), this.capacities),
            free: weigh([], this.capacities),
        };
    }

    /** Mean of requests by slots, of the targets with reports. */
    get utilization(): number {
        return this.meanUtilization;
    }

    /** Share of the targets with a report that counts, 0 to 1. */
    get knownShare(): number {
        return this.reportedShare;
    }

    /** Reads the loads of a part of the targets, each time the next ones; `holdMs` is the mean time for which a request is at a target. */
    update(holdMs: number): void {
        const { states } = this.targets;
        const { loads } = this.opts;
        const count = Math.min(MAX_READ, states.length);
        const read = Array.from({ length: count }, (_, at) => (this.nextRead + at) % states.length);
        this.nextRead = (this.nextRead + count) % Math.max(1, states.length);
        const known = read.map(index => {
            const state = states[index];
            const load = state === undefined ? undefined : loads.get(state.target);
            return { index, load, slots: state === undefined ? 1 : getSlots(state) };
        }).filter(({ load }) => load !== undefined && load.isOwnEstimate !== true);
        const slotsSum = known.reduce((sum, { slots }) => sum + slots, 0);
        const requests = known.reduce((sum, { load }) => sum + (load?.running ?? 0) + (load?.queued ?? 0), 0);
        this.reportedShare = count === 0 ? 0 : known.length / count;
        this.meanUtilization = slotsSum === 0 ? 0 : requests / slotsSum;
        const free = known.filter(({ load, slots }) => {
            const usual = { slots, usual: this.meanUtilization * slots, tokensPerRequest: 0, holdMs };
            return getExpectedLoad(load, usual).hasFreeSlot;
        });
        this.groups.free = weigh(free.map(({ index }) => index), this.capacities);
    }

    /** Index of a target; undefined where it is no more among those of the service. */
    getIndex(state: TargetState): number | undefined {
        return this.indexes.get(state);
    }

    /** Picks a target of a group by slots and speed, from a number in [0, 1); undefined where the group is empty. */
    pick(of: TargetGroup, at: number): number | undefined {
        const { indexes, sums } = this.groups[of];
        const wanted = at * (sums.at(-1) ?? 0);
        let low = 0;
        let high = sums.length - 1;
        while (low < high) {
            const middle = (low + high) >> 1;
            if ((sums[middle] ?? 0) > wanted) {
                high = middle;
            }
            else {
                low = middle + 1;
            }
        }
        return indexes[low];
    }
}

const getSlots = ({ target }: TargetState): number => Math.max(1, target.slots);

const weigh = (indexes: readonly number[], capacities: readonly number[]): WeightedTargets => {
    let sum = 0;
    return { indexes, sums: indexes.map(index => sum += capacities[index] ?? 0) };
};

const getMedian = (values: readonly (number | undefined)[]): number | undefined => {
    const sorted = values.filter(value => value !== undefined && value > 0).toSorted((a, b) => (a ?? 0) - (b ?? 0));
    return sorted[Math.floor(sorted.length / 2)];
};

/** Speeds relative to the median, by the time between events and by the prompt tokens; their geometric mean where both are known. */
const getSpeeds = (measured: readonly TargetSpeed[]): readonly number[] => {
    const perEvent = getMedian(measured.map(speed => speed.msPerEvent));
    const perToken = getMedian(measured.map(speed => speed.msPerPromptToken));
    return measured.map(({ msPerEvent, msPerPromptToken }) => {
        const ratios = [[perEvent, msPerEvent], [perToken, msPerPromptToken]]
            .flatMap(([median, own]) => median === undefined || own === undefined || own <= 0 ? [] : [median / own]);
        const product = ratios.reduce((result, ratio) => result * ratio, 1);
        return ratios.length === 0 ? 1 : Math.min(MAX_SPEED, Math.max(MIN_SPEED, product ** (1 / ratios.length)));
    });
};
