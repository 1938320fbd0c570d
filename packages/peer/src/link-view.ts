import type { InstanceInfo } from "@ospreyreel/types";
import { rendezvousOrder } from "./rendezvous.js";

/** Selects the members to which an instance keeps permanent links. */
export abstract class LinkView {
    /** Returns the members to keep links to. */
    abstract select(self: InstanceInfo, members: readonly InstanceInfo[]): readonly InstanceInfo[];
}

/** Links to all members. */
export class FullMeshLinkView extends LinkView {
    select(...[, members]: Parameters<LinkView["select"]>): readonly InstanceInfo[] {
        return members;
    }
}

/** Options of {@link ZoneLinkView}: numbers of links that an instance opens. */
export interface ZoneLinkViewOptions {
    /** To its own availability zone; 6 by default. */
    readonly zoneLinks?: number;
    /** To each other availability zone of its region; 2 by default. */
    readonly nearZoneLinks?: number;
    /** To each other region; 1 by default. */
    readonly regionLinks?: number;
}

const DEFAULTS = { zoneLinks: 6, nearZoneLinks: 2, regionLinks: 1 };

/** Selects a number of links that depends on the numbers of zones and regions, not of instances. */
export class ZoneLinkView extends LinkView {
    private readonly opts: Required<ZoneLinkViewOptions>;

    constructor(opts: ZoneLinkViewOptions = {}) {
        super();
        this.opts = { ...DEFAULTS, ...opts };
    }

    select(self: InstanceInfo, members: readonly InstanceInfo[]): readonly InstanceInfo[] {
        const groups = new Map<string, { readonly links: number; readonly members: InstanceInfo[]; }>();
        for (const info of members) {
            const { key, links } = this.groupOf(self, info);
            const group = groups.get(key) ?? { links, members: [] };
            groups.set(key, group);
            group.members.push(info);
        }
        return [...groups.values()].flatMap(group =>
            rendezvousOrder(self.instance, group.members, info => info.instance).slice(0, group.links)
        );
    }

    private groupOf(self: InstanceInfo, info: InstanceInfo): { readonly key: string; readonly links: number; } {
        if (info.region !== self.region) {
            return { key: `region ${info.region}`, links: this.opts.regionLinks };
        }
        const near = info.availabilityZone === self.availabilityZone;
        return { key: `zone ${info.availabilityZone}`, links: near ? this.opts.zoneLinks : this.opts.nearZoneLinks };
    }
}
