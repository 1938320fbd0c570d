import type { MembershipChange, PeerHub } from "@ospreyreel/peer";
import type { InstanceInfo } from "@ospreyreel/types";

/** Options of {@link FleetRoster}. */
export interface FleetRosterOptions {
    readonly hub: Pick<PeerHub, "peers" | "changes">;
    /** Monotonic time in milliseconds; `performance.now` by default. */
    readonly nowMs?: () => number;
}

/**
 * Time for which a lost instance is retained, as it may be unreachable only from this one; in milliseconds. The longest
 * expected partition lasts 9 s; callers drop a failing address by themselves.
 */
const LOST_RETENTION_MS = 20_000;

/**
 * Share of the known instances that must be in contact; below it this instance assumes that it is the partitioned one.
 * More than half of a fleet may be killed at the same time (`herd_kill`, 0.55), and the remaining instances must not
 * list the killed ones.
 */
const MIN_CONTACT_SHARE = 0.1;

interface LostInstance {
    readonly info: InstanceInfo;
    readonly lostAtMs: number;
}

/** Last known members of the fleet. Distinguishes stopped instances from those that only this one cannot reach. */
export class FleetRoster {
    private readonly lost = new Map<string, LostInstance>();
    private readonly nowMs: () => number;

    constructor(private readonly opts: FleetRosterOptions) {
        this.nowMs = opts.nowMs ?? (() => performance.now());
        void opts.hub.changes().observe(change => this.handleChange(change));
    }

    /**
     * Size of the fleet with this instance, including instances that are unreachable only because this one is
     * partitioned.
     */
    get size(): number {
        const inContact = this.opts.hub.peers().length;
        return inContact + this.listUnreachable(inContact).length + 1;
    }

    /** Share of the fleet that is in contact with this instance, itself included. */
    get reachableShare(): number {
        return (this.opts.hub.peers().length + 1) / this.size;
    }

    /** Other instances that accept callers, by the last known state. */
    listAccepting(): readonly InstanceInfo[] {
        const peers = this.opts.hub.peers();
        return [...peers.filter(peer => peer.state === "live"), ...this.listUnreachable(peers.length)];
    }

    /** Instances that were lost without leaving if this one appears to be partitioned; otherwise none. */
    private listUnreachable(inContact: number): readonly InstanceInfo[] {
        this.removeExpired();
        const known = this.lost.size + inContact;
        return inContact < known * MIN_CONTACT_SHARE ? [...this.lost.values()].map(({ info }) => info) : [];
    }

    /** Entries are in the order in which the instances were lost. */
    private removeExpired(): void {
        const horizon = this.nowMs() - LOST_RETENTION_MS;
        for (const [instance, { lostAtMs }] of this.lost) {
            if (lostAtMs > horizon) {
                return;
            }
            this.lost.delete(instance);
        }
    }

    private handleChange({ kind, info }: MembershipChange): void {
        this.lost.delete(info.instance);
        if (kind === "lost" && info.state === "live") {
            this.lost.set(info.instance, { info, lostAtMs: this.nowMs() });
        }
    }
}
