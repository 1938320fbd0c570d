import type { MembershipChange, PeerHub } from "@ospreyreel/peer";
import type { InstanceInfo } from "@ospreyreel/types";

/** What a roster needs. */
export interface FleetRosterOptions {
    readonly hub: Pick<PeerHub, "peers" | "changes">;
    /** Monotonic time in milliseconds; the process's by default. */
    readonly nowMs?: () => number;
}

/**
 * Time for which a lost instance may be one that only this instance cannot reach, in milliseconds. The longest cut of the
 * users' pages lasts 9 s; callers drop an address that fails them by themselves.
 */
const REMEMBER_MS = 20_000;

/**
 * Share of the known instances that must be in contact, or this instance holds itself for the one that is cut off. More
 * than half of a fleet may be killed at once (`herd_kill`, 0.55), and those that are left must not name the dead.
 */
const MIN_CONTACT_SHARE = 0.1;

interface Missing {
    readonly info: InstanceInfo;
    readonly lostAtMs: number;
}

/** The fleet as last known. It tells instances that ended from instances that only this one cannot reach. */
export class FleetRoster {
    private readonly missing = new Map<string, Missing>();
    private readonly nowMs: () => number;

    constructor(private readonly opts: FleetRosterOptions) {
        this.nowMs = opts.nowMs ?? (() => performance.now());
        void opts.hub.changes().observe(change => this.note(change));
    }

    /** Instances of the fleet with this one, those included that are out of contact only since this one is cut off. */
    get size(): number {
        const inContact = this.opts.hub.peers().length;
        return inContact + this.listMissing(inContact).length + 1;
    }

    /** Other instances that take callers as far as is known. */
    listTaking(): readonly InstanceInfo[] {
        const peers = this.opts.hub.peers();
        return [...peers.filter(peer => peer.state === "live"), ...this.listMissing(peers.length)];
    }

    /** Instances that were lost without leaving, while hardly any is in contact; otherwise none. */
    private listMissing(inContact: number): readonly InstanceInfo[] {
        this.forgetOld();
        const known = this.missing.size + inContact;
        return inContact < known * MIN_CONTACT_SHARE ? [...this.missing.values()].map(({ info }) => info) : [];
    }

    /** Entries stand in the order in which the instances were lost. */
    private forgetOld(): void {
        const horizon = this.nowMs() - REMEMBER_MS;
        for (const [instance, { lostAtMs }] of this.missing) {
            if (lostAtMs > horizon) {
                return;
            }
            this.missing.delete(instance);
        }
    }

    private note({ kind, info }: MembershipChange): void {
        this.missing.delete(info.instance);
        if (kind === "lost" && info.state === "live") {
            this.missing.set(info.instance, { info, lostAtMs: this.nowMs() });
        }
    }
}
