import { setImmediate as eventLoopTurn } from "node:timers/promises";
import type { AwakeClock } from "./awake-clock.js";
import type { Gossip } from "./gossip.js";
import type { LinkTable } from "./link-table.js";
import type { Membership } from "./membership.js";

/** Options of {@link Heartbeat}. */
export interface HeartbeatOptions {
    readonly links: LinkTable;
    readonly membership: Membership;
    readonly gossip: Gossip;
    readonly clock: AwakeClock;
    readonly heartbeatMs: number;
    /** Time without contact after which a peer counts as lost, in milliseconds. */
    readonly peerTimeoutMs: number;
    /** Interval between comparisons of records with a peer, in milliseconds. */
    readonly compareMs: number;
}

/** Sends heartbeats to the peers and detects peers that time out. */
export class Heartbeat {
    private readonly opts: HeartbeatOptions;
    private comparedAtMs = 0;

    constructor(opts: HeartbeatOptions) {
        this.opts = opts;
    }

    /** Runs one heartbeat; does nothing and returns false where it comes too soon after the last one. */
    async tick(): Promise<boolean> {
        const { clock, heartbeatMs, links, gossip } = this.opts;
        // After a pause of the process the scheduler runs missed ticks immediately; one is enough.
        if (clock.tick() < heartbeatMs / 2) {
            return false;
        }
        links.getLinks().forEach(link => gossip.sendHeartbeat(link));
        // A delayed timer runs before pending reads: let these run before detecting timeouts.
        await eventLoopTurn();
        this.detectTimeouts();
        this.compareIfDue();
        return true;
    }

    private detectTimeouts(): void {
        const { clock, peerTimeoutMs, links, membership, gossip } = this.opts;
        const nowMs = clock.elapsedMs;
        const timeoutStartMs = nowMs - peerTimeoutMs;
        for (const suspicion of membership.detectTimeouts(timeoutStartMs, nowMs)) {
            gossip.spreadSuspicion(suspicion);
            links.destroyLinksTo(suspicion.incarnation, "the peer timed out");
        }
        membership.removeExpired(timeoutStartMs, nowMs);
    }

    private compareIfDue(): void {
        const nowMs = this.opts.clock.elapsedMs;
        if (nowMs - this.comparedAtMs >= this.opts.compareMs) {
            this.comparedAtMs = nowMs;
            this.opts.gossip.compareWithRandomPeer();
        }
    }
}
