/** A graceful stop; times are monotonic, in milliseconds. */
export interface StopRecord {
    readonly instance: string;
    readonly termAtMs: number;
    readonly endedAtMs: number;
    readonly code: number | undefined;
    /** Whether the process was told to stop before it was ready; it may not have handled signals yet. */
    readonly wasStarting: boolean;
}

/** A time in which something was the matter with a part of the fleet. */
interface Span {
    readonly part: string;
    readonly fromMs: number;
    toMs: number;
}

/** A time in which a target named a limit of requests a second. */
export interface LimitSpan {
    readonly target: string;
    readonly perS: number;
    readonly fromMs: number;
    readonly toMs: number;
}

/** A time in which instances were cut off from all targets. */
export interface CutOffSpan {
    readonly instances: readonly string[];
    readonly fromMs: number;
    readonly toMs: number;
}

/** A desired state that was written. */
interface Version {
    readonly atMs: number;
    readonly modelTimeoutMs: number;
    readonly hasNewRoute: boolean;
}

/** Time for which a disturbance excuses what comes after it, in milliseconds; `contactMs` of the users' sites. */
const CONTACT_MS = 3_000;

/** Time within which a desired state comes into force, in milliseconds; `configDeadlineMs` of the users' sites. */
const CONFIG_DEADLINE_MS = 2_000;

/** Time for which a leaving target is still sent requests, in milliseconds; `drainMs` of the users' sites. */
const DRAIN_MS = 2_000;

/** Name of the store as a part that can be disturbed; others are instances and targets. */
export const STORE_PART = "store";

/** What was done to a fleet, and when. */
export class FaultTimeline {
    readonly stops: StopRecord[] = [];
    /** Limits that targets named, once they are over. */
    readonly limits: LimitSpan[] = [];
    /** Cuts of instances from all targets, once they are over. */
    readonly cutOffs: CutOffSpan[] = [];
    /** Targets that had said that they leave. */
    private readonly leaves: Span[] = [];
    /** Instances that had been told to stop, or were killed, and were not ready again. */
    private readonly absences: Span[] = [];
    private readonly kills: Span[] = [];
    /** Faults that nobody planned. */
    private readonly disturbances: Span[] = [];
    /** Instances that were cut off from another one and reach all else. */
    private readonly partings: Span[] = [];
    private readonly versions: Version[] = [];

    /** Records the start of a disturbance; returns what records its end. */
    disturb(parts: readonly string[]): () => void {
        return begin(this.disturbances, parts);
    }

    /** Records that instances are cut off from each other, which disturbs them; returns what records the end. */
    part(instances: readonly string[]): () => void {
        return begin(this.partings, instances);
    }

    /** Whether a part had a fault of its own from some time before the one time until the other; another one's excuses nothing. */
    isSound(part: string, fromMs: number, toMs: number): boolean {
        return !hasOverlap(this.disturbances, part, fromMs - CONTACT_MS, toMs);
    }

    /** Records a disturbance that is over. */
    addDisturbance(parts: readonly string[], fromMs: number, toMs: number): void {
        this.disturbances.push(...parts.map(part => ({ part, fromMs, toMs })));
    }

    /** Records that an instance is told to stop, or killed; returns what records that it is ready again. */
    beginAbsence(instance: string): () => void {
        return begin(this.absences, [instance]);
    }

    /** Whether an instance stopped, or was away, at some time between two times. */
    wasAbsent(instance: string, fromMs: number, toMs: number): boolean {
        return hasOverlap(this.absences, instance, fromMs, toMs);
    }

    /** Records that an instance is killed. */
    kill(instance: string, atMs = performance.now()): void {
        this.kills.push({ part: instance, fromMs: atMs, toMs: atMs });
    }

    /** Whether an instance was killed between two times. */
    wasKilled(instance: string, fromMs: number, toMs: number): boolean {
        return hasOverlap(this.kills, instance, fromMs, toMs);
    }

    /** Records that a target said that it leaves; returns what records its end. */
    leave(target: string): () => void {
        return begin(this.leaves, [target]);
    }

    /** Whether a target had said so long enough before that no request may reach it. */
    hasLeft(target: string, atMs: number): boolean {
        return this.leaves.some(({ part, fromMs, toMs }) => part === target && atMs > fromMs + DRAIN_MS && atMs < toMs);
    }

    /** Records that a target names a limit; returns what records its end. */
    limit(target: string, perS: number): () => void {
        const fromMs = performance.now();
        return () => this.limits.push({ target, perS, fromMs, toMs: performance.now() });
    }

    /** Records that instances are cut off from all targets; returns what records its end. Both disturb what runs there. */
    cutOff(instances: readonly string[]): () => void {
        const fromMs = performance.now();
        this.addDisturbance(instances, fromMs, fromMs);
        return () => {
            const toMs = performance.now();
            this.addDisturbance(instances, toMs, toMs);
            this.cutOffs.push({ instances, fromMs, toMs });
        };
    }

    /** Records a desired state. */
    addVersion(version: Omit<Version, "atMs">): void {
        this.versions.push({ ...version, atMs: performance.now() });
    }

    /** Whether a part was without disturbance from some time before the one time until the other. */
    isCalm(part: string, fromMs: number, toMs: number): boolean {
        return !this.overlaps(part, fromMs - CONTACT_MS, toMs);
    }

    /** Whether a part was disturbed between two times. */
    overlaps(part: string, fromMs: number, toMs: number): boolean {
        return hasOverlap(this.disturbances, part, fromMs, toMs) || hasOverlap(this.partings, part, fromMs, toMs);
    }

    /** Desired states that may have decided about a request in that time. */
    getVersions(fromMs: number, toMs: number): readonly Version[] {
        return this.versions.filter(({ atMs }, index) =>
            atMs <= toMs && (this.versions[index + 1]?.atMs ?? Infinity) + CONFIG_DEADLINE_MS >= fromMs
        );
    }
}

const hasOverlap = (spans: readonly Span[], part: string, fromMs: number, toMs: number): boolean =>
    spans.some(span => span.part === part && span.fromMs <= toMs && span.toMs >= fromMs);

const begin = (spans: Span[], parts: readonly string[]): () => void => {
    const fromMs = performance.now();
    const begun = parts.map(part => ({ part, fromMs, toMs: Infinity }));
    spans.push(...begun);
    return () => begun.forEach(span => span.toMs = performance.now());
};
