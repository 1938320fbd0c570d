import { NameScores } from "@ospreyreel/peer";
import { TargetState } from "./target-state.js";
import { getStartKey, type Target } from "./target.js";

/** Targets of one service that accept new requests, with their rendezvous scores. */
export interface ServiceTargets {
    readonly states: readonly TargetState[];
    /** Scores of the targets' ids, in the order of `states`. */
    readonly scores: NameScores;
}

const NO_TARGETS: ServiceTargets = { states: [], scores: new NameScores([]) };

/** The announced targets, by id and by service. */
export class TargetDirectory {
    private readonly states = new Map<string, TargetState>();
    private readonly listeners: (() => void)[] = [];
    private byService: ReadonlyMap<string, ServiceTargets> = new Map();

    /** All targets, leaving ones included. */
    list(): readonly TargetState[] {
        return [...this.states.values()];
    }

    /** One start of a target, by its name; undefined where it is not announced. */
    findStart(startKey: string): TargetState | undefined {
        const state = this.states.get(startKey.slice(0, startKey.lastIndexOf("@")));
        return state !== undefined && getStartKey(state.target) === startKey ? state : undefined;
    }

    /** Targets of a service that accept new requests. */
    getServing(service: string): ServiceTargets {
        return this.byService.get(service) ?? NO_TARGETS;
    }

    /** Calls the listener after each change. */
    onChange(listener: () => void): void {
        this.listeners.push(listener);
    }

    /** Adds or updates a target from its announcement; returns what changed. */
    put(target: Target): "added" | "restarted" | "leaving" | "updated" {
        const known = this.states.get(target.id);
        const isSameStart = known !== undefined && known.target.startedAtMs === target.startedAtMs;
        if (isSameStart) {
            const startsLeaving = target.leaving && !known.target.leaving;
            // A leaving target does not become available again until it restarts.
            known.target = { ...target, leaving: target.leaving || known.target.leaving };
            this.handleChange();
            return startsLeaving ? "leaving" : "updated";
        }
        known?.markLeaving();
        this.states.set(target.id, new TargetState(target));
        this.handleChange();
        return known === undefined ? "added" : "restarted";
    }

    /** Removes a target; returns whether it was known. */
    remove(id: string): boolean {
        const state = this.states.get(id);
        if (state === undefined) {
            return false;
        }
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

    private handleChange(): void {
        const groups = new Map<string, TargetState[]>();
        for (const state of this.states.values()) {
            if (!state.target.leaving) {
                const group = groups.get(state.target.service) ?? [];
                groups.set(state.target.service, group);
                group.push(state);
            }
        }
        this.byService = new Map(
            [...groups].map(([service, states]) => [service, {
                states,
                scores: new NameScores(states.map(state => state.target.id)),
            }]),
        );
        this.listeners.forEach(listener => listener());
    }
}
