import { NameScores } from "@ospreyreel/peer";
import type { TargetStanding } from "@ospreyreel/targets";
import { isOutdated, RemovedTargets } from "./removed-targets.js";
import { TargetState } from "./target-state.js";
import { getStartKey, type Target } from "./target.js";

/** Targets of one service that accept new requests, with their rendezvous scores. */
export interface ServiceTargets {
    readonly states: readonly TargetState[];
    /** Scores of the targets' ids, in the order of `states`. */
    readonly scores: NameScores;
}

/** Options of {@link TargetDirectory}. */
export interface TargetDirectoryOptions {
    /** Monotonic time in milliseconds; `performance.now` by default. */
    readonly nowMs?: () => number;
    /** Time of day in milliseconds; `Date.now` by default. */
    readonly wallMs?: () => number;
}

const NO_TARGETS: ServiceTargets = { states: [], scores: new NameScores([]) };

/** The announced targets, by id and by service. */
export class TargetDirectory {
    private readonly states = new Map<string, TargetState>();
    /** Revisions of the targets' last announcements, by id. */
    private readonly revisions = new Map<string, number>();
    private readonly removed = new RemovedTargets();
    private readonly listeners: (() => void)[] = [];
    private byService: ReadonlyMap<string, ServiceTargets> = new Map();
    private readonly nowMs: () => number;
    private readonly wallMs: () => number;

    constructor({ nowMs = () => performance.now(), wallMs = () => Date.now() }: TargetDirectoryOptions = {}) {
        this.nowMs = nowMs;
        this.wallMs = wallMs;
    }

    /** All targets, leaving ones included. */
    list(): readonly TargetState[] {
        return [...this.states.values()];
    }

    /** One start of a target, by its name; undefined where it is not announced. */
    findStart(startKey: string): TargetState | undefined {
        const state = this.states.get(startKey.slice(0, startKey.lastIndexOf("@")));
        return state !== undefined && getStartKey(state.target) === startKey ? state : undefined;
    }

    /** What is announced of the start of a target that something was sent to. Some targets leave by removing their announcement. */
    getStanding(target: Target): TargetStanding {
        const known = this.states.get(target.id)?.target;
        if (known !== undefined && getStartKey(known) !== getStartKey(target)) {
            return "restarted";
        }
        return known?.leaving === false ? "serving" : "leaving";
    }

    /** Targets of a service that accept new requests. */
    getServing(service: string): ServiceTargets {
        return this.byService.get(service) ?? NO_TARGETS;
    }

    /** Calls the listener after each change. */
    onChange(listener: () => void): void {
        this.listeners.push(listener);
    }

    /** Ids of targets that are gone and would be recognized in an older copy of their announcements. */
    get removedIds(): readonly string[] {
        return this.removed.ids;
    }

    /**
     * Adds or updates a target from its announcement at a revision of the KV service; returns what changed. `outdated` is an
     * announcement from before the target's removal, which the service came back with.
     */
    put(target: Target, revision = 0): "added" | "restarted" | "leaving" | "updated" | "outdated" {
        const known = this.states.get(target.id);
        if (this.isOutdated(target, revision, known)) {
            return "outdated";
        }
        // An entry that is read once more tells a rest of a cold time that is over in part.
        const isWritten = revision === 0 || revision !== this.revisions.get(target.id);
        this.revisions.set(target.id, revision);
        const isSameStart = known !== undefined && known.target.startedAtMs === target.startedAtMs;
        if (isSameStart) {
            const startsLeaving = target.leaving && !known.target.leaving;
            // A leaving target does not become available again until it restarts.
            known.target = { ...target, leaving: target.leaving || known.target.leaving };
            if (isWritten) {
                this.recordCold(known);
            }
            this.handleChange();
            return startsLeaving ? "leaving" : "updated";
        }
        known?.markLeaving();
        const earlier = this.removed.take(target);
        const leaving = target.leaving || earlier?.wasLeaving === true;
        const state = new TargetState({ ...target, leaving }, earlier?.state);
        this.recordCold(state);
        this.states.set(target.id, state);
        this.handleChange();
        return known === undefined ? "added" : "restarted";
    }

    /** Removes a target; returns whether it was known. */
    remove(id: string): boolean {
        const state = this.states.get(id);
        if (state === undefined) {
            return false;
        }
        this.removed.add(state, this.revisions.get(id) ?? 0);
        this.revisions.delete(id);
        state.markLeaving();
        this.states.delete(id);
        this.handleChange();
        return true;
    }

    /** Marks a target as leaving; returns whether this changed it. */
    markLeaving(id: string): boolean {
        const state = this.states.get(id);
        if (state === undefined || state.target.leaving) {
            return false;
        }
        state.markLeaving();
        this.handleChange();
        return true;
    }

    private recordCold({ target, cold }: TargetState): void {
        const { startedAtMs, coldRemainingMs } = target;
        const ageMs = startedAtMs === undefined ? undefined : Math.max(0, this.wallMs() - startedAtMs);
        cold.recordEntry(this.nowMs(), coldRemainingMs, ageMs);
    }

    private isOutdated(target: Target, revision: number, known: TargetState | undefined): boolean {
        if (known === undefined) {
            return this.removed.isOutdated(target, revision);
        }
        const knownRevision = this.revisions.get(target.id) ?? 0;
        const isOther = known.target.startedAtMs !== target.startedAtMs;
        if (!isOther || !isOutdated(target, revision, known.target, knownRevision)) {
            return false;
        }
        this.revisions.set(target.id, Math.max(revision, knownRevision));
        return true;
    }

    private handleChange(): void {
        const groups = new Map<string, TargetState[]>();
        for (const state of this.states.values()) {
            if (!state.target.leaving) {
                const group = groups.get(state.target.service) ?? [];
                groups.set(state.target.service, group);
                group.push(state);
            }
        }
        const before = this.byService;
        this.byService = new Map([...groups].map(([service, states]) => {
            const known = before.get(service);
            // Targets repeat their announcements, and hashing all names each time would cost more than the placements.
            const isSame = known?.states.length === states.length
                && states.every((state, index) => state === known.states[index]);
            return [
                service,
                isSame ? known : { states, scores: new NameScores(states.map(state => state.target.id)) },
            ];
        }));
        this.listeners.forEach(listener => listener());
    }
}
