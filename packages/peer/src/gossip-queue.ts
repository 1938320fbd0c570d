import type { MemberRecord, Suspicion } from "./messages.js";

/** Maximum records and suspicions in one heartbeat; the remainder is sent with the next one. */
const MAX_RECORDS = 8;
const MAX_SUSPICIONS = 16;

/** Gossip to send over one link; holds only the latest record or suspicion of each instance. */
export class GossipQueue {
    private readonly records = new Map<string, MemberRecord>();
    private readonly suspicions = new Map<string, Suspicion>();

    /** Queues a record. */
    addRecord(record: MemberRecord): void {
        this.suspicions.delete(record.info.instance);
        this.records.set(record.info.instance, record);
    }

    /** Queues a suspicion. */
    addSuspicion(suspicion: Suspicion): void {
        this.records.delete(suspicion.instance);
        this.suspicions.set(suspicion.instance, suspicion);
    }

    /** Drops a record that the peer has just sent, as it knows it already. */
    dropKnown(record: MemberRecord): void {
        const queued = this.records.get(record.info.instance);
        if (queued?.info.incarnation === record.info.incarnation && queued.version <= record.version) {
            this.records.delete(record.info.instance);
        }
    }

    /** Removes and returns the entries for one heartbeat; fields without entries are left out. */
    takeBatch(): { readonly records?: readonly MemberRecord[]; readonly suspicions?: readonly Suspicion[]; } {
        const records = takeFirst(this.records, MAX_RECORDS);
        const suspicions = takeFirst(this.suspicions, MAX_SUSPICIONS);
        return { ...(records.length > 0 ? { records } : {}), ...(suspicions.length > 0 ? { suspicions } : {}) };
    }
}

const takeFirst = <T>(queue: Map<string, T>, max: number): readonly T[] => {
    const taken = [...queue].slice(0, max);
    taken.forEach(([key]) => queue.delete(key));
    return taken.map(([, value]) => value);
};
