import type { Address, InstanceInfo } from "@ospreyreel/types";
import { getAddressKey } from "./address-key.js";
import { FullMeshLinkView, type LinkView } from "./link-view.js";
import type { Membership } from "./membership.js";
import type { MemberRecord } from "./messages.js";
import { rendezvousOrder } from "./rendezvous.js";

/** Listed addresses without a member that an instance of a large fleet dials at once, to join and heal partitions. */
const MAX_SEEDS = 2;

/** Time for which the same seeds are dialled, in milliseconds. */
const SEED_ROTATION_MS = 5_000;

/** Options of {@link LinkTargets}. */
export interface LinkTargetsOptions {
    readonly membership: Membership;
    readonly self: () => MemberRecord;
    readonly isLinked: (info: InstanceInfo) => boolean;
    /** Largest fleet in which all instances link to all. */
    readonly fullMeshUpTo: number;
    /** Selects the links in larger fleets. */
    readonly view: LinkView;
}

/** Decides which addresses are to be linked. */
export class LinkTargets {
    private readonly opts: LinkTargetsOptions;
    private readonly fullMesh = new FullMeshLinkView();
    private listed: readonly Address[] = [];
    private selected: readonly InstanceInfo[] = [];
    private selectedKey = "";

    constructor(opts: LinkTargetsOptions) {
        this.opts = opts;
    }

    /** Sets the addresses that the platform lists. */
    setListed(addresses: readonly Address[]): void {
        this.listed = addresses;
    }

    /** Returns the addresses to link; also sets whether unlinked instances count as members. */
    updateAddresses(nowMs: number): readonly Address[] {
        const { membership, fullMeshUpTo, self } = this.opts;
        const isSmall = Math.max(this.listed.length, membership.size + 1) <= fullMeshUpTo;
        membership.setShowsUnknown(!isSmall);
        const broken = membership.getExpected().filter(info => !this.opts.isLinked(info));
        const wanted = [...this.select(isSmall), ...broken].map(info => info.peer);
        const unknownAddresses = this.getUnknownAddresses();
        const turn = String(Math.floor(nowMs / SEED_ROTATION_MS));
        const { peer, instance } = self().info;
        const seeds = isSmall
            ? unknownAddresses
            : rendezvousOrder(`${instance} ${turn}`, unknownAddresses, getAddressKey).slice(0, MAX_SEEDS);
        return [...wanted, ...seeds].filter(address => getAddressKey(address) !== getAddressKey(peer));
    }

    private select(isSmall: boolean): readonly InstanceInfo[] {
        const { membership, view, self } = this.opts;
        const infos = membership.records().map(record => record.info);
        if (isSmall) {
            return this.fullMesh.select(self().info, infos);
        }
        // Ranking hashes every name, so it is repeated only when the incarnations have changed.
        const key = infos.map(info => info.incarnation).join(" ");
        if (key !== this.selectedKey) {
            this.selected = view.select(self().info, infos);
            this.selectedKey = key;
        }
        return this.selected;
    }

    /** Returns the listed addresses that no member has. */
    private getUnknownAddresses(): readonly Address[] {
        const known = new Set(this.opts.membership.records().map(record => getAddressKey(record.info.peer)));
        return this.listed.filter(address => !known.has(getAddressKey(address)));
    }
}
