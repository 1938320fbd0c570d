import type { RelayRoute } from "../document/relay-document.js";
import type { PlacementPolicy } from "../policy/placement-policy.js";
import type { RelayRequest } from "../relay-request.js";
import type { TargetDirectory } from "./target-directory.js";
import type { TargetState } from "./target-state.js";

/** What a selector needs. */
export interface TargetSelectorOptions {
    readonly directory: TargetDirectory;
    readonly placement: PlacementPolicy;
    readonly availabilityZone: string;
    /** Most own connections to one target of a service. */
    readonly getConnectionLimit: (service: string) => number;
    /** Monotonic clock, in milliseconds. */
    readonly now?: () => number;
}

/** How many times the median a target's mean time must be to count as slow; prompts alone differ by about two. */
const SLOW_FROM = 2.5;

const USUAL = 1;

/** The part of a prompt that decides where a request goes: the last one that others share. */
export const getAffinityKey = (req: RelayRequest): string | undefined => {
    const parts = req.generation?.parts ?? [];
    return parts.at(-2)?.id;
};

/** Picks the target of one send. */
export class TargetSelector {
    private readonly now: () => number;

    constructor(private readonly opts: TargetSelectorOptions) {
        this.now = opts.now ?? (() => performance.now());
    }

    /** A target that may take the request and was not tried before; undefined where there is none. */
    select(req: RelayRequest, route: RelayRoute, service: string, tried: ReadonlySet<string>): TargetState | undefined {
        const { states, scores } = this.opts.directory.getServing(service);
        const nowMs = this.now();
        const limit = this.opts.getConnectionLimit(service);
        const allowed = states.map((state, index) => ({ state, index }))
            .filter(({ state }) =>
                !tried.has(state.target.id) && state.inFlight < limit && state.health.isUsable(nowMs)
            );
        const withRoom = allowed.filter(({ state }) => !state.health.isFull(nowMs));
        const candidates = withRoom.length > 0 ? withRoom : allowed;
        if (candidates.length === 0) {
            return undefined;
        }
        const key = route.hasPromptAffinity ? getAffinityKey(req) : undefined;
        const ranks = key === undefined ? undefined : scores.getScores(key);
        const medianMs = getMedian(states.map(state => state.health.firstByteMs).filter(ms => ms !== undefined));
        const numbers = candidates.map(({ state, index }) => ({
            inFlight: state.inFlight,
            slots: Math.max(1, state.target.slots),
            isNear: state.target.availabilityZone === this.opts.availabilityZone,
            slowness: getSlowness(state.health.firstByteMs, medianMs),
            errorShare: state.health.errorShare,
            affinity: ranks?.[index] ?? 0,
        }));
        return candidates[this.opts.placement.choose(numbers)]?.state;
    }
}

const getSlowness = (firstByteMs: number | undefined, medianMs: number | undefined): number =>
    firstByteMs === undefined || medianMs === undefined || medianMs === 0
        ? USUAL
        : firstByteMs / medianMs < SLOW_FROM
        ? USUAL
        : firstByteMs / medianMs;

const getMedian = (values: readonly number[]): number | undefined => {
    const sorted = values.toSorted((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)];
};
