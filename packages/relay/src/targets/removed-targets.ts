import { BoundedMap } from "../bounded-map.js";
import type { TargetState } from "./target-state.js";
import type { Announcement, Target } from "./target.js";

/** A start of a target whose announcement was removed. */
interface RemovedTarget {
    readonly state: TargetState;
    /** Whether it was leaving before it was removed. */
    readonly wasLeaving: boolean;
    /** Its last announcement. */
    readonly last: Announcement;
}

/** Maximum number of removed targets that are remembered. */
const MAX_REMOVED = 1_024;

/**
 * Whether an announcement was written before another one of the same start, or is that one. Revisions go back when the KV service comes
 * back from a copy, so that a living target may write at a smaller one later.
 */
const isOlder = ({ revision, seq }: Announcement, last: Announcement): boolean =>
    revision <= last.revision && (seq === undefined || last.seq === undefined || seq <= last.seq);

/** Whether an announcement is one of an earlier start than a known one whose last announcement had a revision. */
export const isOfEarlierStart = (target: Target, revision: number, known: Target, knownRevision: number): boolean =>
    revision <= knownRevision && (target.startedAtMs ?? 0) < (known.startedAtMs ?? 0);

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

    /** Remembers a target that is removed. */
    add(state: TargetState, last: Announcement): void {
        this.removed.set(state.target.id, { state, wasLeaving: state.target.leaving, last });
    }

    /** Whether an announcement is that of a removed target, from before its removal. */
    isOutdated(target: Target, announcement: Announcement): boolean {
        const known = this.removed.get(target.id);
        if (known === undefined) {
            return false;
        }
        const { state, last } = known;
        return state.target.startedAtMs === target.startedAtMs
            ? isOlder(announcement, last)
            : isOfEarlierStart(target, announcement.revision, state.target, last.revision);
    }

    /** Forgets a target that announces itself again; returns what its start has told, undefined for another start. */
    take(target: Target): { readonly state: TargetState; readonly wasLeaving: boolean; } | undefined {
        const known = this.removed.get(target.id);
        this.removed.delete(target.id);
        return known?.state.target.startedAtMs === target.startedAtMs ? known : undefined;
    }
}
