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

/** Time within which an instance that is partitioned loses all others, in milliseconds. */
const LOSS_SPREAD_MS = 3_000;

interface LostInstance {
    readonly info: InstanceInfo;
    readonly lostAtMs: number;
}

/** Last known members of the fleet. Distinguishes stopped instances from those that only this one cannot reach. */
export class FleetRoster {
    private readonly lost = new Map<string, LostInstance>();
    /** When instances came into contact; without those that always were. */
    private readonly joinedAtMs = new Map<string, number>();
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
        return this.isPartitioned(inContact) ? [...this.lost.values()].map(({ info }) => info) : [];
    }

    private isPartitioned(inContact: number): boolean {
        return inContact < (this.lost.size + inContact) * MIN_CONTACT_SHARE;
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

    /** Removes the instances that were lost while this one was in contact with enough of the fleet, a now lost one among them. */
    private removeStopped({ instance }: InstanceInfo): void {
        if (this.isPartitioned(this.opts.hub.peers().length + 1)) {
            return;
        }
        const joinedAtMs = this.joinedAtMs.get(instance) ?? Number.NEGATIVE_INFINITY;
        const horizon = this.nowMs() - LOSS_SPREAD_MS;
        for (const [other, { lostAtMs }] of this.lost) {
            if (lostAtMs > joinedAtMs && lostAtMs < horizon) {
                this.lost.delete(other);
            }
        }
    }

    private handleChange({ kind, info }: MembershipChange): void {
        this.lost.delete(info.instance);
        if (kind === "joined") {
            this.joinedAtMs.set(info.instance, this.nowMs());
        }
        if (kind !== "lost") {
            return;
        }
        this.removeStopped(info);
        this.joinedAtMs.delete(info.instance);
        if (info.state === "live") {
            this.lost.set(info.instance, { info, lostAtMs: this.nowMs() });
        }
    }
}
