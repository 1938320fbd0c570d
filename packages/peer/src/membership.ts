import type { InstanceInfo } from "@ospreyreel/types";
import { fromEvent, type Stream } from "most";
import { EventEmitter } from "node:events";
import { isDeepStrictEqual } from "node:util";
import { getAddressKey } from "./address-key.js";
import type { MemberRecord, Suspicion } from "./messages.js";
import type { MembershipChange } from "./peer-hub.js";

/** Time for which a removed record is rejected from peers that may not know of the removal, in milliseconds. */
const REMOVED_RECORD_TTL_MS = 10_000;

/**
 * State of a member as seen on this instance's own links: `watched` has been in contact, and its timeout is running;
 * `unreachable` has timed out; an `unknown` one is known from other instances only.
 */
type Reachability = "watched" | "unknown" | "unreachable";

interface Member {
    readonly record: MemberRecord;
    readonly reachability: Reachability;
    /** Awake time of the last contact on a link. */
    readonly lastContactAtMs: number;
    /** Awake time since which the record is suspected. */
    readonly suspectedAtMs: number | undefined;
}

interface Removed {
    readonly incarnation: string;
    readonly version: number;
    readonly untilMs: number;
}

/** Compares the recency of two records of the same instance; positive if the first is newer. */
export const compareRecords = (a: MemberRecord, b: MemberRecord): number => {
    if (a.info.incarnation === b.info.incarnation) {
        return a.version - b.version;
    }
    if (a.generation !== b.generation) {
        return a.generation - b.generation;
    }
    return a.info.incarnation < b.info.incarnation ? -1 : 1;
};

/** The other instances of the fleet; one incarnation for each instance name. All times are awake times. */
export class Membership {
    private readonly members = new Map<string, Member>();
    private readonly removed = new Map<string, Removed>();
    private readonly events = new EventEmitter().setMaxListeners(0);
    private showsUnknown = false;

    /** Number of known instances, unreachable ones included. */
    get size(): number {
        return this.members.size;
    }

    /** Sets whether instances that are known from other instances only count as members. */
    setShowsUnknown(showsUnknown: boolean): void {
        if (showsUnknown === this.showsUnknown) {
            return;
        }
        this.showsUnknown = showsUnknown;
        const unknown = [...this.members.values()].filter(member => member.reachability === "unknown");
        unknown.forEach(({ record: { info } }) => this.emit({ kind: showsUnknown ? "joined" : "lost", info }));
    }

    /** Returns all records, unreachable members included. */
    records(): readonly MemberRecord[] {
        return [...this.members.values()].map(member => member.record);
    }

    /** Returns the infos of the members that count as live or leaving at this instance. */
    list(): readonly InstanceInfo[] {
        const shown = [...this.members.values()].filter(member => this.isVisible(member));
        return shown.map(member => member.record.info);
    }

    /** Returns the infos of watched and unreachable members: those without a link are dialled until they respond. */
    getExpected(): readonly InstanceInfo[] {
        const expected = [...this.members.values()].filter(member => member.reachability !== "unknown");
        return expected.map(member => member.record.info);
    }

    /** Returns the record of an incarnation, if known. */
    find(incarnation: string): MemberRecord | undefined {
        return this.records().find(record => record.info.incarnation === incarnation);
    }

    /** Merges a record sent by its subject; "stale" where a newer incarnation replaced it, "news" if others need it. */
    mergeOwn(record: MemberRecord, nowMs: number): "stale" | "known" | "news" {
        const current = this.members.get(record.info.instance);
        const order = current === undefined ? 1 : compareRecords(record, current.record);
        if (order < 0 && current?.record.info.incarnation !== record.info.incarnation) {
            return "stale";
        }
        const latest = order < 0 && current !== undefined ? current.record : record;
        this.put({ record: latest, reachability: "watched", lastContactAtMs: nowMs, suspectedAtMs: undefined });
        return order > 0 ? "news" : "known";
    }

    /** Merges a record sent by another instance than its subject; true if it is new. */
    mergeRelayed(record: MemberRecord, nowMs: number): boolean {
        const { instance, incarnation } = record.info;
        const removed = this.removed.get(instance);
        if (removed?.incarnation === incarnation && record.version <= removed.version && nowMs < removed.untilMs) {
            return false;
        }
        const current = this.members.get(instance);
        if (current !== undefined && compareRecords(record, current.record) <= 0) {
            return false;
        }
        const same = current?.record.info.incarnation === incarnation ? current : undefined;
        const { reachability, lastContactAtMs } = same ?? { reachability: "unknown", lastContactAtMs: nowMs };
        this.put({ record, reachability, lastContactAtMs, suspectedAtMs: undefined });
        return true;
    }

    /** Records a contact on a link. */
    recordContact(info: InstanceInfo, nowMs: number): void {
        this.updateMember(info.incarnation, info.instance, { lastContactAtMs: nowMs, suspectedAtMs: undefined });
    }

    /** Stops the timeout of a member whose last link was closed gracefully. */
    stopTimeout(info: InstanceInfo): void {
        if (this.members.get(info.instance)?.reachability === "watched") {
            this.updateMember(info.incarnation, info.instance, { reachability: "unknown" });
        }
    }

    /** Starts the timeout of members at an address that could not be dialled. */
    startTimeout(address: InstanceInfo["peer"], nowMs: number): void {
        const key = getAddressKey(address);
        for (const { record, reachability } of [...this.members.values()]) {
            if (reachability === "unknown" && getAddressKey(record.info.peer) === key) {
                this.updateMember(record.info.incarnation, record.info.instance, {
                    reachability: "watched",
                    lastContactAtMs: nowMs,
                });
            }
        }
    }

    /** Marks members without contact since the given time as unreachable, and returns the suspicions to spread. */
    detectTimeouts(sinceMs: number, nowMs: number): readonly Suspicion[] {
        const timedOut = [...this.members.values()].filter(it =>
            it.reachability === "watched" && it.lastContactAtMs < sinceMs
        );
        for (const member of timedOut) {
            this.put({ ...member, reachability: "unreachable", suspectedAtMs: member.suspectedAtMs ?? nowMs });
        }
        return timedOut.map(({ record: { info, version } }) => ({
            instance: info.instance,
            incarnation: info.incarnation,
            version,
            stopped: false,
        }));
    }

    /** Merges a suspicion from another instance; true if it is new. A watched member is not suspected here. */
    suspect(suspicion: Suspicion, nowMs: number): boolean {
        const { instance, incarnation, version, stopped } = suspicion;
        const member = this.members.get(instance);
        const isCurrent = member?.record.info.incarnation === incarnation && version >= member.record.version;
        if (member === undefined || !isCurrent) {
            return false;
        }
        if (stopped) {
            this.remove(member.record, nowMs);
            return true;
        }
        if (member.reachability === "watched" || member.suspectedAtMs !== undefined) {
            return false;
        }
        this.put({ ...member, suspectedAtMs: nowMs });
        return true;
    }

    /** Removes a member and rejects its record from other instances for a while. */
    remove(record: MemberRecord, nowMs: number): void {
        const { instance, incarnation } = record.info;
        const member = this.members.get(instance);
        if (member?.record.info.incarnation === incarnation) {
            this.members.delete(instance);
            const { version } = member.record;
            this.removed.set(instance, { incarnation, version, untilMs: nowMs + REMOVED_RECORD_TTL_MS });
            this.emitChange(member, undefined);
        }
    }

    /** Removes members that were suspected before the given time, and deletes expired removals. */
    removeExpired(suspectedSinceMs: number, nowMs: number): void {
        for (const { record, suspectedAtMs } of [...this.members.values()]) {
            if (suspectedAtMs !== undefined && suspectedAtMs < suspectedSinceMs) {
                this.remove(record, nowMs);
            }
        }
        for (const [instance, { untilMs }] of this.removed) {
            if (untilMs < nowMs) {
                this.removed.delete(instance);
            }
        }
    }

    /** Returns the stream of further changes. */
    changes(): Stream<MembershipChange> {
        return fromEvent<MembershipChange>("change", this.events);
    }

    private updateMember(incarnation: string, instance: string, change: Partial<Member>): void {
        const member = this.members.get(instance);
        if (member?.record.info.incarnation === incarnation) {
            this.put({ ...member, ...change });
        }
    }

    private put(member: Member): void {
        const { instance } = member.record.info;
        const before = this.members.get(instance);
        this.members.set(instance, member);
        this.emitChange(before, member);
    }

    private isVisible(member: Member): boolean {
        return member.reachability === "watched" || (member.reachability === "unknown" && this.showsUnknown);
    }

    private emitChange(before: Member | undefined, after: Member | undefined): void {
        const old = before !== undefined && this.isVisible(before) ? before.record.info : undefined;
        const info = after !== undefined && this.isVisible(after) ? after.record.info : undefined;
        const replaced = old !== undefined && old.incarnation !== info?.incarnation;
        if (replaced) {
            this.emit({ kind: "lost", info: old });
        }
        if (info !== undefined && info !== old && !isDeepStrictEqual(info, old)) {
            this.emit({ kind: old === undefined || replaced ? "joined" : "updated", info });
        }
    }

    private emit(change: MembershipChange): void {
        this.events.emit("change", change);
    }
}
