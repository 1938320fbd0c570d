import { isRepeatable } from "../admission.js";
import type { RelayRoute } from "../document/relay-document.js";
import type { PlacementPolicy } from "../policy/placement-policy.js";
import type { RelayRequest } from "../relay-request.js";
import type { ReportSelector } from "./report-selector.js";
import type { TargetDirectory } from "./target-directory.js";
import type { TargetState } from "./target-state.js";
import type { Target } from "./target.js";
import type { WarmPreference } from "./warm-preference.js";

/** Options of {@link TargetSelector}. */
export interface TargetSelectorOptions {
    readonly directory: TargetDirectory;
    readonly placement: PlacementPolicy;
    readonly availabilityZone: string;
    /** Maximum number of this instance's connections to one target of a service. */
    readonly getConnectionLimit: (service: string) => number;
    /** Whether streams may begin at a version of a service; at each by default. */
    readonly isSettled?: (service: string, version: string | undefined) => boolean;
    /** Whether nothing may be sent to a target, since its availability zone is evacuated; none is by default. */
    readonly isEvacuated?: (target: Target) => boolean;
    /** Selects targets by their loads over all instances; undefined where that is not enabled. */
    readonly reports?: Pick<ReportSelector, "select"> | undefined;
    /** Region of a target; where it is missing, requests with regions find no target. */
    readonly getRegion?: (target: Target) => string;
    /** Leaves out cold targets where the others are enough; leaves out none by default. */
    readonly warmth?: Pick<WarmPreference, "filter">;
    /** Whether a send that was permitted at a monotonic time, in milliseconds, may still begin; always by default. */
    readonly mayStart?: (state: TargetState, permittedAtMs: number) => boolean;
    /** Monotonic clock, in milliseconds. */
    readonly now?: () => number;
}

/**
 * Ratio of a target's mean time to the median from which the target counts as slow. Different prompts alone cause a
 * ratio of about two.
 */
const SLOW_RATIO = 2.5;

const NORMAL_SLOWNESS = 1;

/** Id of the prompt part that decides the placement: the last one that other requests may share. */
export const getAffinityKey = (req: RelayRequest): string | undefined => {
    const parts = req.generation?.parts ?? [];
    return parts.at(-2)?.id;
};

/** A stream that has begun; its rest has to come from the same version. */
export interface BegunStream {
    /** Undefined where the targets announce none; such a stream is not continued. */
    readonly version: string | undefined;
}

/** Which targets may not be selected for a send. */
export interface SelectionLimits {
    /** Ids of targets that the request was sent to before, or that have no room for it. */
    readonly tried: ReadonlySet<string>;
    /** Undefined before the first event. */
    readonly begun: BegunStream | undefined;
    /** Whether the request may find out if an ejected target responds again; it costs the time of a connection attempt. */
    readonly mayTry: boolean;
    /** Regions in which the target has to be; any by default. */
    readonly regions?: readonly string[] | undefined;
}

const canContinue = ({ target }: TargetState, begun: BegunStream | undefined): boolean =>
    begun === undefined || (begun.version !== undefined && target.version === begun.version);

/** Selects the target of one send. */
export class TargetSelector {
    private readonly now: () => number;

    constructor(private readonly opts: TargetSelectorOptions) {
        this.now = opts.now ?? (() => performance.now());
    }

    /**
     * Returns a target that can accept the request and was not tried before, of one version only where the request
     * continues a stream of it; undefined where there is none.
     */
    select(
        req: RelayRequest,
        route: RelayRoute,
        service: string,
        { tried, begun, mayTry, regions }: SelectionLimits,
    ): TargetState | undefined {
        const targets = this.opts.directory.getServing(service);
        const nowMs = this.now();
        const limit = this.opts.getConnectionLimit(service);
        const mayResume = route.kind === "streaming" && route.isResumable && begun === undefined;
        const key = route.hasPromptAffinity ? getAffinityKey(req) : undefined;
        const isAllowed = (state: TargetState): boolean =>
            !tried.has(state.target.id) && !this.isExcluded(state, regions) && state.inFlight < limit
            && state.health.isUsable(nowMs) && state.getWaitMs(nowMs) === 0 && canContinue(state, begun)
            && (mayTry || !state.health.isOnTrial);
        const byReports = this.opts.reports?.select({
            req,
            service,
            targets,
            part: key,
            isRepeatable: isRepeatable(route),
            isAllowed: state => isAllowed(state) && (!mayResume || this.isSettled(state)),
        });
        if (byReports !== undefined) {
            return byReports;
        }
        const { states, scores } = targets;
        const allowed = states.map((state, index) => ({ state, index })).filter(({ state }) => isAllowed(state));
        const notFull = allowed.filter(({ state }) => !state.health.isFull(nowMs));
        const candidates = this.preferSettled(mayResume, this.preferWarm(notFull.length > 0 ? notFull : allowed));
        if (candidates.length === 0) {
            return undefined;
        }
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

    /** Whether a target of a service may get a request now, or as soon as its limit or a pause allows it. */
    hasTarget(service: string, regions?: readonly string[]): boolean {
        const nowMs = this.now();
        const limit = this.opts.getConnectionLimit(service);
        return this.opts.directory.getServing(service).states
            .some(state => !this.isExcluded(state, regions) && state.health.isUsable(nowMs) && state.inFlight < limit);
    }

    /** Whether a target may still get a request, which waited for a connection since a monotonic time in milliseconds. */
    mayStart(state: TargetState, permittedAtMs: number): boolean {
        return state.isAccepting(this.now()) && !this.isEvacuated(state)
            && this.opts.mayStart?.(state, permittedAtMs) !== false;
    }

    private preferWarm<T extends { readonly state: TargetState; }>(candidates: readonly T[]): readonly T[] {
        return this.opts.warmth?.filter(candidates) ?? candidates;
    }

    /** Whether nothing may be sent to a target at the moment, or nothing of a request that has to stay in some regions. */
    private isExcluded(state: TargetState, regions: readonly string[] | undefined): boolean {
        return this.isEvacuated(state)
            || (regions !== undefined && !regions.includes(this.opts.getRegion?.(state.target) ?? ""));
    }

    private isEvacuated({ target }: TargetState): boolean {
        return this.opts.isEvacuated?.(target) === true;
    }

    /** Lets streams that may be resumed begin at versions that are known everywhere, where there is such a target. */
    private preferSettled<T extends { readonly state: TargetState; }>(
        mayResume: boolean,
        candidates: readonly T[],
    ): readonly T[] {
        if (!mayResume) {
            return candidates;
        }
        const settled = candidates.filter(({ state }) => this.isSettled(state));
        return settled.length > 0 ? settled : candidates;
    }

    private isSettled({ target }: TargetState): boolean {
        return this.opts.isSettled?.(target.service, target.version) !== false;
    }

    /**
     * Shortest time until a target that is only held back by its limit of requests a second, or by a pause that it asked
     * for, may get one, in milliseconds; undefined where no target is.
     */
    getWaitMs(service: string, { tried, begun, regions }: Omit<SelectionLimits, "mayTry">): number | undefined {
        const nowMs = this.now();
        const waits = this.opts.directory.getServing(service).states
            .filter(state =>
                !tried.has(state.target.id) && !this.isExcluded(state, regions) && state.health.isUsable(nowMs)
                && canContinue(state, begun)
            )
            .map(state => state.getWaitMs(nowMs))
            .filter(waitMs => waitMs > 0);
        return waits.length === 0 ? undefined : Math.min(...waits);
    }
}

const getSlowness = (firstByteMs: number | undefined, medianMs: number | undefined): number =>
    firstByteMs === undefined || medianMs === undefined || medianMs === 0
        ? NORMAL_SLOWNESS
        : firstByteMs / medianMs < SLOW_RATIO
        ? NORMAL_SLOWNESS
        : firstByteMs / medianMs;

const getMedian = (values: readonly number[]): number | undefined => {
    const sorted = values.toSorted((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)];
};
