import type { Counters } from "@ospreyreel/telemetry";
import type { Address } from "@ospreyreel/types";
import type { Socket } from "node:net";
import type { Gossip } from "./gossip.js";
import type { LinkOpener } from "./link-opener.js";
import type { LinkTable } from "./link-table.js";
import type { Link } from "./link.js";
import type { Membership } from "./membership.js";
import type { MemberRecord } from "./messages.js";

/** Options of {@link LinkManager}. */
export interface LinkManagerOptions {
    readonly links: LinkTable;
    readonly membership: Membership;
    readonly gossip: Gossip;
    readonly opener: LinkOpener;
    readonly counters: Counters;
    /** Awake time, in milliseconds. */
    readonly nowMs: () => number;
    readonly self: () => MemberRecord;
    /** Whether this instance is stopping. */
    readonly isStopping: () => boolean;
    /** Called after a link has ended. */
    readonly onEnd: () => void;
}

/** Serves authenticated links until they end. */
export class LinkManager {
    private readonly opts: LinkManagerOptions;

    constructor(opts: LinkManagerOptions) {
        this.opts = opts;
    }

    /** Serves an accepted connection until it ends; throws nothing. */
    async accept(socket: Socket): Promise<void> {
        try {
            await this.serve(await this.opts.opener.accept(socket));
        }
        catch {
            // Counted by the opener; the unauthenticated peer gets no details.
        }
    }

    /** Opens a link; throws where that fails, and the member's timeout starts then. */
    async dial(address: Address, signal: AbortSignal): Promise<Link> {
        try {
            return await this.opts.opener.dial(address, signal);
        }
        catch (err) {
            // An aborted dial does not show whether the member is alive.
            if (!signal.aborted) {
                this.opts.membership.startTimeout(address, this.opts.nowMs());
            }
            throw err;
        }
    }

    /** Serves a link until it ends; throws nothing. */
    async serve(link: Link): Promise<void> {
        const { links, membership, gossip, counters } = this.opts;
        links.add(link);
        counters.set("peer_links", links.size);
        gossip.add(link);
        this.drainRedundant(link);
        if (this.opts.isStopping()) {
            // The link was authenticated in the same turn in which goodbyes were sent on the other links.
            link.goodbye();
        }
        await link.run();
        gossip.remove(link);
        links.remove(link);
        counters.set("peer_links", links.size);
        const { info } = link.remote;
        if (link.isDrained && links.getLinksTo(info.incarnation).length === 0) {
            membership.stopTimeout(info);
        }
        this.opts.onEnd();
    }

    /** Drains links dialled by this side that another link to the same peer makes redundant. */
    drainRedundant(link: Link): void {
        const { links, self } = this.opts;
        const redundant = links.getRedundantLinks(link.remote.info.incarnation, self().info.incarnation);
        redundant.forEach(other => other.drain());
    }

    /** Drains unwanted links without requests for `idleMs`; the side that dialled a link drains it. */
    drainIdle(idleMs: number, isWanted: (address: Address) => boolean): void {
        for (const link of this.opts.links.getLinks()) {
            if (link.dialled && link.idleMs > idleMs && !isWanted(link.remote.info.peer)) {
                link.drain();
            }
        }
    }
}
