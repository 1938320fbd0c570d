import type { RelayLog } from "../relay-log.js";
import type { Target } from "../targets/target.js";

/** Options of {@link EvacuatedZones}. */
export interface EvacuatedZonesOptions {
    readonly log: RelayLog;
    /** Adds one to a counter. */
    readonly count: (name: string) => void;
    /** Monotonic time in milliseconds; `performance.now` by default. */
    readonly nowMs?: () => number;
}

/**
 * Time for which an evacuation is kept that a restore of the KV service from an older copy has lost, in milliseconds. Operators write
 * it again by then if it is still wanted.
 */
const RESTORE_HOLD_MS = 10_000;

/** Time for which what a peer said is believed, in milliseconds; a few intervals between two questions to peers. */
const LEARNED_TTL_MS = 5_000;

/** Maximum number of zones that are learned from peers. */
const MAX_LEARNED = 256;

/** Availability zones to whose targets nothing may be sent. Until the evacuations have been read, that is every zone. */
export class EvacuatedZones {
    /** Revisions of the evacuations in the KV service, by zone. */
    private readonly written = new Map<string, number>();
    /** Monotonic times until which a zone counts as evacuated without an entry, in milliseconds. */
    private readonly heldUntilMs = new Map<string, number>();
    private synced = false;
    private readonly nowMs: () => number;

    constructor(private readonly opts: EvacuatedZonesOptions) {
        this.nowMs = opts.nowMs ?? (() => performance.now());
    }

    /** Whether the evacuations have been read at least once. */
    get isSynced(): boolean {
        return this.synced;
    }

    /** Zones that are known to be evacuated. */
    list(): readonly string[] {
        this.dropExpired();
        return [...new Set([...this.written.keys(), ...this.heldUntilMs.keys()])];
    }

    /** Whether nothing may be sent to a target. */
    blocks({ availabilityZone }: Target): boolean {
        if (!this.synced) {
            return true;
        }
        if (this.written.has(availabilityZone)) {
            return true;
        }
        if (this.heldUntilMs.size > 0) {
            this.dropExpired();
        }
        return this.heldUntilMs.has(availabilityZone);
    }

    /** Records an evacuation and the revision at which it was written. */
    add(zone: string, revision: number): void {
        const isNew = !this.isKnown(zone);
        this.heldUntilMs.delete(zone);
        this.written.set(zone, revision);
        if (isNew) {
            this.logBegin(zone, "kv");
        }
    }

    /** Records that the KV service has no such evacuation any more; it is kept for a time where a restore may have lost it. */
    remove(zone: string, isLostByRestore: (revision: number) => boolean): void {
        const revision = this.written.get(zone);
        if (revision === undefined) {
            return;
        }
        this.written.delete(zone);
        if (isLostByRestore(revision)) {
            this.heldUntilMs.set(zone, this.nowMs() + RESTORE_HOLD_MS);
            this.opts.log.write("zone evacuation kept after a restore", { zone, ms: RESTORE_HOLD_MS });
            return;
        }
        this.logEnd(zone);
    }

    /** Replaces all evacuations by those in the KV service, by zone with their revisions. */
    replace(zones: ReadonlyMap<string, number>, isLostByRestore: (revision: number) => boolean): void {
        [...this.written.keys()].filter(zone => !zones.has(zone)).forEach(zone => this.remove(zone, isLostByRestore));
        zones.forEach((revision, zone) => this.add(zone, revision));
        this.synced = true;
    }

    /** Records evacuations that a peer knows of; each is believed for a time. */
    learn(zones: readonly string[], source: string): void {
        const untilMs = this.nowMs() + LEARNED_TTL_MS;
        this.dropExpired();
        for (const zone of zones.slice(0, MAX_LEARNED).filter(name => !this.written.has(name))) {
            const isNew = !this.heldUntilMs.has(zone);
            if (isNew && this.heldUntilMs.size >= MAX_LEARNED) {
                return;
            }
            this.heldUntilMs.set(zone, Math.max(untilMs, this.heldUntilMs.get(zone) ?? 0));
            if (isNew) {
                this.logBegin(zone, source);
            }
        }
    }

    private isKnown(zone: string): boolean {
        return this.written.has(zone) || this.heldUntilMs.has(zone);
    }

    private dropExpired(): void {
        const nowMs = this.nowMs();
        for (const [zone, untilMs] of this.heldUntilMs) {
            if (untilMs <= nowMs) {
                this.heldUntilMs.delete(zone);
                this.logEnd(zone);
            }
        }
    }

    private logBegin(zone: string, source: string): void {
        this.opts.count("zone_evacuations");
        this.opts.log.write("zone evacuated", { zone, source });
    }

    private logEnd(zone: string): void {
        this.opts.log.write("zone evacuation ended", { zone });
    }
}
