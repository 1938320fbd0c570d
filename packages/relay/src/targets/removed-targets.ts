import { getEra } from "@ospreyreel/kv";
import { BoundedMap } from "../bounded-map.js";
import type { TargetState } from "./target-state.js";
import type { Target } from "./target.js";

/** A start of a target whose announcement was removed. */
interface RemovedTarget {
    readonly state: TargetState;
    /** Whether it was leaving before it was removed. */
    readonly wasLeaving: boolean;
    /** Revision of its newest known announcement. */
    readonly revision: number;
}

/** Maximum number of removed targets that are remembered. */
const MAX_REMOVED = 1_024;

/**
 * Whether an announcement may be an older one of a start, or one of an earlier start: it was not written after the newest known one. In a
 * later era the first one that is seen may come from the copy, and only the next one was certainly written since.
 */
export const isOutdated = (target: Target, revision: number, known: Target, knownRevision: number): boolean =>
    (target.startedAtMs ?? 0) <= (known.startedAtMs ?? 0)
    && (getEra(revision) !== getEra(knownRevision) || revision <= knownRevision);

/**
 * Remembers targets whose announcements were removed: after the KV service came back from an older copy, such an announcement is there
 * again, and the target is still gone.
 */
export class RemovedTargets {
    private readonly removed = new BoundedMap<RemovedTarget>(MAX_REMOVED);

    /** Ids of the remembered targets, for the state dump. */
    get ids(): readonly string[] {
        return this.removed.list().map(([id]) => id);
    }

    /** Remembers a target that is removed, with the revision of its last announcement. */
    add(state: TargetState, revision: number): void {
        this.removed.set(state.target.id, { state, wasLeaving: state.target.leaving, revision });
    }

    /** Whether an announcement may be one from before the target's removal; remembers that it was seen. */
    isOutdated(target: Target, revision: number): boolean {
        const known = this.removed.get(target.id);
        if (known === undefined || !isOutdated(target, revision, known.state.target, known.revision)) {
            return false;
        }
        this.removed.set(target.id, { ...known, revision: Math.max(revision, known.revision) });
        return true;
    }

    /** Forgets a target that announces itself again; returns what its start has told, undefined for another start. */
    take(target: Target): { readonly state: TargetState; readonly wasLeaving: boolean; } | undefined {
        const known = this.removed.get(target.id);
        this.removed.delete(target.id);
        return known?.state.target.startedAtMs === target.startedAtMs ? known : undefined;
    }
}
