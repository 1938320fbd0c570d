import type { InstanceInfo } from "@ospreyreel/types";
import type { LinkTable } from "./link-table.js";
import type { MemberRecord } from "./messages.js";

/** Record of this instance, sent on all links at each change. */
export class SelfRecord {
    private readonly links: LinkTable;
    private current: MemberRecord;

    constructor(opts: { readonly info: InstanceInfo; readonly links: LinkTable; }) {
        this.links = opts.links;
        this.current = { info: opts.info, generation: Date.now(), version: 0 };
    }

    /** Current record. */
    get record(): MemberRecord {
        return this.current;
    }

    /** Changes the info; a new revision alone is sent to the linked peers only, as it changes too often for gossip. */
    update(change: Partial<Pick<InstanceInfo, "state" | "configRevision" | "incarnation">>): void {
        const { info, generation, version } = this.current;
        const next = { ...info, ...change };
        const hasNewIncarnation = next.incarnation !== info.incarnation;
        if (hasNewIncarnation || next.state !== info.state) {
            const nextGeneration = hasNewIncarnation ? Math.max(generation + 1, Date.now()) : generation;
            this.announce({ info: next, generation: nextGeneration, version: version + 1 });
        }
        else if (next.configRevision !== info.configRevision) {
            this.current = { info: next, generation, version };
            const { configRevision } = next;
            this.links.getLinks().forEach(link => link.sendHeartbeat({ kind: "heartbeat", configRevision }));
        }
    }

    /** Raises the version above one that others suspect. */
    refute(version: number): void {
        this.announce({ ...this.current, version: version + 1 });
    }

    private announce(record: MemberRecord): void {
        this.current = record;
        this.links.getLinks().forEach(link => link.sendHeartbeat({ kind: "heartbeat", member: record }));
    }
}
