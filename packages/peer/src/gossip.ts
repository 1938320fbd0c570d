import { GossipQueue } from "./gossip-queue.js";
import type { LinkTable } from "./link-table.js";
import type { Link } from "./link.js";
import { areDigestsEqual, getDifferingRecords, getDigests } from "./member-digest.js";
import type { Membership } from "./membership.js";
import type { DigestMessage, HeartbeatMessage, MemberRecord, Suspicion } from "./messages.js";

/** Options of {@link Gossip}. */
export interface GossipOptions {
    readonly links: LinkTable;
    readonly membership: Membership;
    /** Awake time, in milliseconds. */
    readonly nowMs: () => number;
    readonly self: () => MemberRecord;
    /** Raises the version of this instance's record above a suspected one. */
    readonly refute: (version: number) => void;
}

/** Spreads records and suspicions over the links, each update once, and repairs missed updates with digests. */
export class Gossip {
    private readonly opts: GossipOptions;
    private readonly queues = new Map<Link, GossipQueue>();

    constructor(opts: GossipOptions) {
        this.opts = opts;
    }

    /** Starts to spread over a link; the side that dialled compares the records of both. */
    add(link: Link): void {
        this.queues.set(link, new GossipQueue());
        if (link.dialled) {
            this.sendDigest(link, true);
        }
    }

    /** Stops spreading over a link. */
    remove(link: Link): void {
        this.queues.delete(link);
    }

    /** Sends a heartbeat with queued gossip, bounded in size. */
    sendHeartbeat(link: Link): void {
        link.sendHeartbeat({ kind: "heartbeat", ...this.queues.get(link)?.takeBatch() });
    }

    /** Compares records with a random peer. */
    compareWithRandomPeer(): void {
        const links = this.opts.links.getLinks().filter(link => link.isUsable);
        const link = links[Math.floor(Math.random() * links.length)];
        if (link !== undefined) {
            this.sendDigest(link, true);
        }
    }

    /** Spreads a record to all peers except its sender and its subject. */
    spreadRecord(record: MemberRecord, from?: Link): void {
        for (const [link, queue] of this.queues) {
            if (link !== from && link.remote.info.incarnation !== record.info.incarnation) {
                queue.addRecord(record);
            }
        }
    }

    /** Spreads a suspicion to all peers except its sender. */
    spreadSuspicion(suspicion: Suspicion, from?: Link): void {
        for (const [link, queue] of this.queues) {
            if (link !== from) {
                queue.addSuspicion(suspicion);
            }
        }
    }

    /** Merges the records and suspicions that a peer sent. */
    receive(link: Link, message: HeartbeatMessage): void {
        for (const record of message.records ?? []) {
            this.queues.get(link)?.dropKnown(record);
            this.receiveRecord(link, record);
        }
        message.suspicions?.forEach(suspicion => this.receiveSuspicion(link, suspicion));
    }

    /** Replies to a digest with the records that differ. */
    receiveDigest(link: Link, message: DigestMessage): void {
        const records = this.getRecords();
        if (areDigestsEqual(getDigests(records), message.buckets)) {
            return;
        }
        const differing = getDifferingRecords(records, message.buckets);
        link.sendHeartbeat({ kind: "heartbeat", records: differing });
        if (message.wantsAnswer) {
            this.sendDigest(link, false);
        }
    }

    private sendDigest(link: Link, wantsAnswer: boolean): void {
        link.sendDigest({ kind: "digest", buckets: getDigests(this.getRecords()), wantsAnswer });
    }

    private getRecords(): readonly MemberRecord[] {
        return [...this.opts.membership.records(), this.opts.self()];
    }

    private receiveRecord(link: Link, record: MemberRecord): void {
        const isSelf = record.info.instance === this.opts.self().info.instance;
        if (!isSelf && this.opts.membership.mergeRelayed(record, this.opts.nowMs())) {
            this.spreadRecord(record, link);
        }
    }

    private receiveSuspicion(link: Link, suspicion: Suspicion): void {
        const self = this.opts.self();
        if (suspicion.incarnation === self.info.incarnation) {
            if (!suspicion.stopped && suspicion.version >= self.version) {
                this.opts.refute(suspicion.version);
            }
            return;
        }
        if (this.opts.membership.suspect(suspicion, this.opts.nowMs())) {
            this.spreadSuspicion(suspicion, link);
            return;
        }
        // Peers with a link to the subject ignore the suspicion, but the subject must receive it to refute it.
        for (const subject of this.opts.links.getLinksTo(suspicion.incarnation)) {
            this.queues.get(subject)?.addSuspicion(suspicion);
        }
    }
}
