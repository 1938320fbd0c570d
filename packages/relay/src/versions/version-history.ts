import type { ServingVersion, StreamOrigin } from "@ospreyreel/types";
import type { TargetDirectory } from "../targets/target-directory.js";

/** Options of {@link VersionHistory}. */
export interface VersionHistoryOptions {
    readonly directory: Pick<TargetDirectory, "list" | "onChange">;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
}

/** Longest time from the first event of a stream until its caller resumes it, in milliseconds. */
export const RESUME_HORIZON_MS = 60_000;

/** Age of the view of the KV service up to which it counts as current, in milliseconds. */
export const MAX_VIEW_AGE_MS = 2_000;

/**
 * Time for which a version is announced before streams begin at it while others serve, in milliseconds. By then each
 * instance with a current view knows of it, and takes no other version for the only one.
 */
export const VERSION_SETTLE_MS = MAX_VIEW_AGE_MS + 500;

/** Stands for the targets that announce no version; they are not known to be of the same one. */
const UNNAMED = "";

/** Versions of each service at which a stream that is resumed now may have begun. */
export class VersionHistory {
    /** Versions of the announced targets, by service. */
    private present = new Map<string, ReadonlySet<string>>();
    /** Monotonic times in milliseconds at which other versions were last known to serve, by service. */
    private readonly gone = new Map<string, Map<string, number>>();
    /** Monotonic times in milliseconds at which the versions of the announced targets were first seen, by service. */
    private readonly seen = new Map<string, Map<string, number>>();
    private readonly startedAtMs: number;
    private hasEarlier = false;

    constructor(private readonly opts: VersionHistoryOptions) {
        this.startedAtMs = opts.nowMs();
        opts.directory.onChange(() => this.update());
    }

    /** Whether the versions from before this instance's start are known, or too long ago to matter. */
    get isComplete(): boolean {
        return this.hasEarlier || this.opts.nowMs() - this.startedAtMs > RESUME_HORIZON_MS;
    }

    /** Services with known versions. */
    get services(): readonly string[] {
        return [...new Set([...this.present.keys(), ...this.gone.keys()])];
    }

    /** Records that all versions from before this instance's start were remembered. */
    completeEarlier(): void {
        this.hasEarlier = true;
    }

    /** Records versions that may have served until a time ago, in milliseconds; until now by default. */
    remember(service: string, versions: readonly string[], msAgo = 0): void {
        const gone = this.gone.get(service) ?? new Map<string, number>();
        this.gone.set(service, gone);
        const atMs = this.opts.nowMs() - msAgo;
        versions.forEach(version => gone.set(version, Math.max(atMs, gone.get(version) ?? atMs)));
    }

    /** Versions of a service at which a resumed stream may have begun; an empty name stands for unnamed ones. */
    list(service: string): readonly string[] {
        this.removeExpired(service);
        return [...new Set([...this.present.get(service) ?? [], ...this.gone.get(service)?.keys() ?? []])].toSorted();
    }

    /** The listed versions, with the time since each was last known to serve. */
    listWithAges(service: string): readonly ServingVersion[] {
        const nowMs = this.opts.nowMs();
        return this.list(service).map(version => ({
            service,
            version,
            msAgo: this.present.get(service)?.has(version) === true
                ? 0
                : nowMs - (this.gone.get(service)?.get(version) ?? nowMs),
        }));
    }

    /** Whether each instance with a current view knows of an announced version, or there is no other one. */
    isSettled(service: string, version: string = UNNAMED): boolean {
        const seenAtMs = this.seen.get(service)?.get(version);
        return !this.isMixed(service)
            || (seenAtMs !== undefined && this.opts.nowMs() - seenAtMs >= VERSION_SETTLE_MS);
    }

    /** Whether streams of several versions of a service may be resumed. */
    isMixed(service: string): boolean {
        return this.list(service).length > 1;
    }

    /** The only origin that a stream of one of the services can have; undefined where there are several or none. */
    getOnlyOrigin(services: readonly string[]): StreamOrigin | undefined {
        if (!this.isComplete) {
            return undefined;
        }
        const origins = services.flatMap(service => this.list(service).map(version => ({ service, version })));
        const [only] = origins;
        return origins.length === 1 && only?.version !== UNNAMED ? only : undefined;
    }

    private update(): void {
        const groups = new Map<string, Set<string>>();
        for (const { target: { service, version = UNNAMED } } of this.opts.directory.list()) {
            groups.set(service, (groups.get(service) ?? new Set()).add(version));
        }
        for (const [service, versions] of this.present) {
            this.remember(service, [...versions].filter(version => groups.get(service)?.has(version) !== true));
        }
        this.present = groups;
        this.recordSeen();
    }

    private recordSeen(): void {
        [...this.seen.keys()].filter(service => !this.present.has(service)).forEach(it => this.seen.delete(it));
        for (const [service, versions] of this.present) {
            const before = this.seen.get(service);
            const nowMs = this.opts.nowMs();
            this.seen.set(service, new Map([...versions].map(it => [it, before?.get(it) ?? nowMs])));
        }
    }

    private removeExpired(service: string): void {
        const gone = this.gone.get(service);
        const horizonMs = this.opts.nowMs() - RESUME_HORIZON_MS;
        gone?.forEach((atMs, version) => atMs < horizonMs && gone.delete(version));
        if (gone?.size === 0) {
            this.gone.delete(service);
        }
    }
}
