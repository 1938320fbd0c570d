import type { PeerHub } from "@ospreyreel/peer";
import type { InstanceState } from "@ospreyreel/types";

/** Options of {@link FleetContact}. */
export interface FleetContactOptions {
    readonly hub: Pick<PeerHub, "peers" | "self" | "changes">;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
}

/**
 * Time for which a lost instance is taken for one that goes on elsewhere, in milliseconds; several times the longest expected
 * partition. One that was killed and is not started again takes its share along for so long.
 */
const LOST_RETENTION_MS = 60_000;

/** Share of the fleet below which nothing is handed out, so that many small parts do not add up to more by their first sends. */
const MIN_SHARE = 0.2;

/** Measures which share of the fleet is in contact; unlike the roster, it takes each lost instance for one that is cut off. */
export class FleetContact {
    private readonly lostAtMs = new Map<string, number>();
    private changedAtMs: number;
    private ownState: InstanceState;

    constructor(private readonly opts: FleetContactOptions) {
        this.ownState = opts.hub.self().state;
        this.changedAtMs = opts.nowMs();
        void opts.hub.changes().observe(({ kind, info }) => {
            this.lostAtMs.delete(info.instance);
            if (kind === "lost" && info.state === "live") {
                this.lostAtMs.set(info.instance, opts.nowMs());
            }
            this.changedAtMs = opts.nowMs();
        });
    }

    /** Monotonic time of the last change of the members or of their states, in milliseconds. */
    get membersChangedAtMs(): number {
        this.noticeOwnState();
        return this.changedAtMs;
    }

    /** Notices a change of this instance's own state, which is no event; to be called now and then. */
    noticeOwnState(): void {
        const { hub, nowMs } = this.opts;
        const { state } = hub.self();
        if (state !== this.ownState) {
            this.ownState = state;
            this.changedAtMs = nowMs();
        }
    }

    /** Share of a limit that this part of the fleet may use, 0 to 1; the parts of a partition together get at most all of it. */
    get share(): number {
        const horizonMs = this.opts.nowMs() - LOST_RETENTION_MS;
        for (const [instance, atMs] of this.lostAtMs) {
            if (atMs <= horizonMs) {
                this.lostAtMs.delete(instance);
            }
        }
        const inContact = this.opts.hub.peers().length + 1;
        const share = inContact / (inContact + this.lostAtMs.size);
        return share < MIN_SHARE ? 0 : share;
    }
}
