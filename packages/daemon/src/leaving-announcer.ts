import type { PeerHub } from "@ospreyreel/peer";
import type { TargetPool } from "@ospreyreel/targets";

/** Options of {@link LeavingAnnouncer}. */
export interface LeavingAnnouncerOptions {
    readonly hub: PeerHub;
    readonly pool: TargetPool;
    /** Time between announcements of unchanged targets, in milliseconds; 2,000 by default. */
    readonly repeatMs?: number;
}

const DEFAULT_REPEAT_MS = 2_000;
const PEER_TIMEOUT_MS = 1_000;

/** Marks leaving targets of the platform's list and announces them to peers, whose list may lag or be unavailable. */
export class LeavingAnnouncer {
    private listed: ReadonlySet<string> = new Set();
    private lastAnnouncedMs = -Infinity;

    constructor(private readonly opts: LeavingAnnouncerOptions) {}

    /** Handles the targets that the latest read of the list shows as leaving. */
    update(leaving: readonly string[]): void {
        this.opts.pool.setListedLeaving(leaving);
        const hasNew = leaving.some(target => !this.listed.has(target));
        this.listed = new Set(leaving);
        // Repeated, since a peer that just started or was partitioned missed the last one, and peers' marks expire.
        const isDue = performance.now() - this.lastAnnouncedMs >= (this.opts.repeatMs ?? DEFAULT_REPEAT_MS);
        if (leaving.length > 0 && (hasNew || isDue)) {
            this.announce(leaving);
        }
    }

    private announce(targets: readonly string[]): void {
        this.lastAnnouncedMs = performance.now();
        for (const { incarnation } of this.opts.hub.peers()) {
            // A peer that misses this gets the next announcement.
            this.opts.hub.request(incarnation, "targets.leaving", { targets }, PEER_TIMEOUT_MS).catch(() => undefined);
        }
    }
}
