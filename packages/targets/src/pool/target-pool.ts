import type { OperatorsDocument, Target } from "@ospreyreel/config";
import { type Counters, createLog } from "@ospreyreel/telemetry";
import { fromEvent, type Stream } from "most";
import { EventEmitter } from "node:events";
import type { TargetChoicePolicy, TargetLoad } from "../choice/target-choice-policy.js";
import type { PassiveHealthOptions } from "./passive-health.js";
import { PrefixHistory, type PrefixHistoryOptions } from "./prefix-history.js";
import type { TargetChange, TargetChangeKind, TargetOutcome } from "./target-change.js";
import { type LoadReport, TargetState } from "./target-state.js";

/** Options of {@link TargetPool}; times in milliseconds. */
export interface TargetPoolOptions {
    readonly policy: TargetChoicePolicy;
    readonly counters: Counters;
    readonly health?: PassiveHealthOptions;
    readonly prefixes?: PrefixHistoryOptions;
    /** Load, as a share of its capacity, from which on a target gets no more requests. */
    readonly maxLoadShare?: number;
    /** Maximum age of a load report; older ones are ignored. */
    readonly maxReportAgeMs?: number;
    /** Weight of a new load report against the mean of earlier ones, above 0 and up to 1 (exponential smoothing). */
    readonly reportSmoothing?: number;
    /** How long a target marked as leaving is excluded although the platform's list shows it live. */
    readonly leavingMarkMs?: number;
    /** Monotonic clock. */
    readonly now?: () => number;
}

/** Options of {@link TargetPool.acquire}. */
export interface AcquireOptions {
    readonly offering: string;
    readonly prefixHash?: string | undefined;
    /** Names of targets already tried. */
    readonly exclude?: ReadonlySet<string>;
}

/** A target with one request of this instance counted on it until it is released. */
export interface AcquiredTarget {
    readonly target: Target;
    /** Ends the request; further calls have no effect. */
    readonly release: (outcome: TargetOutcome) => void;
}

/** Whether an offering has a target for another request: `busy` where all are full, `none` where none is usable. */
export type OfferingState = "available" | "busy" | "none";

const DEFAULT_MAX_LOAD_SHARE = 1.25;
const DEFAULT_MAX_REPORT_AGE_MS = 5000;
const DEFAULT_REPORT_SMOOTHING = 0.2;
const DEFAULT_LEAVING_MARK_MS = 60_000;

/** The targets of the document and their state at this instance. */
export class TargetPool {
    private readonly states = new Map<string, TargetState>();
    private readonly emitter = new EventEmitter();
    private readonly log = createLog("targets");
    private readonly prefixes: PrefixHistory;
    private readonly now: () => number;
    private targetsByOffering = new Map<string, readonly string[]>();
    private listedLeaving: ReadonlySet<string> = new Set();

    constructor(private readonly opts: TargetPoolOptions) {
        this.prefixes = new PrefixHistory(opts.prefixes);
        this.now = opts.now ?? (() => performance.now());
        this.emitter.setMaxListeners(0);
    }

    /** Applies the targets and offerings of a document; requests in flight keep their target. */
    setDocument(doc: Pick<OperatorsDocument, "targets" | "offerings">): void {
        const named = new Set(doc.targets.map(target => target.name));
        [...this.states.keys()].filter(name => !named.has(name)).forEach(name => this.states.delete(name));
        for (const target of doc.targets) {
            const known = this.states.get(target.name);
            if (known?.target.url === target.url) {
                known.target = target;
            }
            else {
                this.states.set(target.name, new TargetState(target, this.opts.health));
            }
        }
        this.targetsByOffering = new Map(doc.offerings.map(offering => [offering.name, offering.targets]));
        this.emit("updated", "");
    }

    /** Sets the targets that the platform's list shows as leaving. */
    setListedLeaving(names: readonly string[]): void {
        this.listedLeaving = new Set(names);
        this.emit("updated", "");
    }

    /** Marks targets that a peer or the target itself reports as leaving; they get no new requests from then on. */
    markLeaving(names: readonly string[]): void {
        const untilMs = this.now() + (this.opts.leavingMarkMs ?? DEFAULT_LEAVING_MARK_MS);
        for (const name of names) {
            const state = this.states.get(name);
            const isNew = state !== undefined && !this.isLeaving(state);
            state?.markLeaving(untilMs);
            if (isNew) {
                this.log.info({ target: name }, "target is leaving");
                this.emit("leaving", name);
            }
        }
    }

    /** Whether a target leaves or is in the current document no more. */
    hasLeft(name: string): boolean {
        const state = this.states.get(name);
        return state === undefined || this.isLeaving(state);
    }

    /** Chooses a target and counts a request on it; `undefined` where no target can accept one now. */
    acquire(req: AcquireOptions): AcquiredTarget | undefined {
        const now = this.now();
        const states = this.findUsable(req).filter(state => this.hasRoom(state, now));
        if (states.length === 0) {
            return undefined;
        }
        const loads = states.map(state => this.toLoad(state, req.prefixHash, now));
        const state = states[this.opts.policy.choose(loads)] as TargetState;
        return this.acquireFrom(state, req.prefixHash);
    }

    /** Returns whether an offering has a target with room, only full ones, or none. */
    getOfferingState(req: AcquireOptions): OfferingState {
        const usable = this.findUsable(req);
        if (usable.length === 0) {
            return "none";
        }
        return usable.some(state => this.hasRoom(state, this.now())) ? "available" : "busy";
    }

    /** Number of requests that an offering's usable targets serve concurrently. */
    getCapacity(offering: string): number {
        return this.findUsable({ offering }).reduce((sum, state) => sum + state.target.capacity, 0);
    }

    /** Whether two offerings have a target in common. */
    sharesTargets(offering: string, other: string): boolean {
        const targets = this.targetsByOffering.get(offering) ?? [];
        return (this.targetsByOffering.get(other) ?? []).some(name => targets.includes(name));
    }

    /** Targets of the current document. */
    getTargets(): readonly Target[] {
        return [...this.states.values()].map(state => state.target);
    }

    /** Applies an engine's load report. */
    setLoadReport(name: string, report: LoadReport): void {
        const state = this.states.get(name);
        state?.setReport(report, this.now(), this.opts.reportSmoothing ?? DEFAULT_REPORT_SMOOTHING);
        this.emit("free", name);
    }

    /** Records a cache event of an engine. */
    recordCacheEvent(name: string, kind: "stored" | "evicted", prefixHash: string): void {
        if (kind === "stored") {
            this.prefixes.add(prefixHash, name);
        }
        else {
            this.prefixes.remove(prefixHash, name);
        }
    }

    /** Stream of the changes of the pool. */
    changes(): Stream<TargetChange> {
        return fromEvent<TargetChange>("change", this.emitter);
    }

    /** Returns the targets' state for the state dump. */
    dump(): readonly unknown[] {
        const now = this.now();
        return [...this.states.values()].map(state => ({
            target: state.target.name,
            inFlight: state.inFlight,
            others: state.getOthers(now, this.maxReportAgeMs),
            weight: state.health.getWeight(now),
            leaving: this.isLeaving(state),
        }));
    }

    private get maxReportAgeMs(): number {
        return this.opts.maxReportAgeMs ?? DEFAULT_MAX_REPORT_AGE_MS;
    }

    private findUsable(req: AcquireOptions): readonly TargetState[] {
        const now = this.now();
        const present = (this.targetsByOffering.get(req.offering) ?? [])
            .filter(name => req.exclude?.has(name) !== true)
            .map(name => this.states.get(name))
            .filter(state => state !== undefined)
            .filter(state => !this.isLeaving(state));
        const healthy = present.filter(state => !state.health.isEjected(now));
        // Where all targets are ejected, trying one of them is better than rejecting the request.
        return healthy.length > 0 ? healthy : present;
    }

    private isLeaving(state: TargetState): boolean {
        return this.listedLeaving.has(state.target.name) || state.isMarkedLeaving(this.now());
    }

    private hasRoom(state: TargetState, now: number): boolean {
        const { inFlight, others, capacity } = this.toLoad(state, undefined, now);
        const limit = capacity * (this.opts.maxLoadShare ?? DEFAULT_MAX_LOAD_SHARE);
        // An idle instance always gets a place, so that reports of other instances' load cannot exclude it.
        return inFlight === 0 || inFlight + others < limit;
    }

    private toLoad(state: TargetState, prefixHash: string | undefined, now: number): TargetLoad {
        const weight = state.health.getWeight(now);
        return {
            inFlight: state.inFlight,
            others: state.getOthers(now, this.maxReportAgeMs),
            capacity: state.target.capacity * (weight === 0 ? 1 : weight),
            hasPrefix: prefixHash !== undefined && this.prefixes.has(prefixHash, state.target.name),
        };
    }

    private acquireFrom(state: TargetState, prefixHash: string | undefined): AcquiredTarget {
        state.inFlight += 1;
        if (prefixHash !== undefined) {
            this.prefixes.add(prefixHash, state.target.name);
        }
        let released = false;
        return {
            target: state.target,
            release: outcome => {
                if (!released) {
                    released = true;
                    this.release(state, outcome);
                }
            },
        };
    }

    private release(state: TargetState, outcome: TargetOutcome): void {
        state.inFlight -= 1;
        const { name } = state.target;
        if (outcome === "served") {
            state.health.recordSuccess(this.now());
        }
        if (outcome === "failed" && state.health.recordFailure(this.now())) {
            this.opts.counters.add("targets_ejected");
            this.log.warn({ target: name }, "target is ejected");
            this.emit("ejected", name);
        }
        this.emit("free", name);
    }

    private emit(kind: TargetChangeKind, target: string): void {
        this.emitter.emit("change", { kind, target } satisfies TargetChange);
    }
}
