import type { RoomReport, RoomRequest, RoomResponse } from "@ospreyreel/types";
import { BoundedMap } from "../bounded-map.js";

/** Options of {@link RoomKeeper}. */
export interface RoomKeeperOptions {
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
    /** Share of the fleet that acquires its room here, 0 to 1; the rest may acquire it from another keeper. */
    readonly getReachableShare: () => number;
}

/** Open sends of one instance at one target, as it reported last. */
interface InstanceSends {
    readonly open: number;
    readonly atMs: number;
}

/** What is known of one target's room. */
interface TargetRoom {
    readonly byInstance: Map<string, InstanceSends>;
    /** Most sends that may be open at the target. */
    room: number;
    changedAtMs: number;
}

/** Maximum number of targets whose room is kept. */
const MAX_TARGETS = 4_096;

/** Share of a target's slots that is handed out; the rest is for sends that it still works on after they have ended here. */
const SLOT_SHARE = 0.9;

/** Time after which an instance's report counts no more, in milliseconds: three reports. */
const REPORT_TTL_MS = 3_000;

/** Time without a rejection after which one more send is tried, in milliseconds. */
const GROW_INTERVAL_MS = 1_000;

/** Time after which an instance may ask again, in milliseconds. */
const WAIT_MS = 100;

/** Hands out the room of targets that break down when they reject requests, by the sends that all instances have open. */
export class RoomKeeper {
    private readonly targets = new BoundedMap<TargetRoom>(MAX_TARGETS);

    constructor(private readonly opts: RoomKeeperOptions) {}

    /** Grants an instance one more send if there is room for it. */
    acquire(req: RoomRequest, instance: string): RoomResponse {
        const known = this.getTarget(req);
        this.grow(known, req.slots);
        if (this.countOpen(known) + 1 > Math.max(1, Math.floor(known.room * this.opts.getReachableShare()))) {
            return { granted: false, waitMs: WAIT_MS };
        }
        this.record(known, instance, getOpen(known, instance) + 1);
        return { granted: true, waitMs: 0 };
    }

    /** Takes over what has become of an instance's sends; a rejection shows that there is room for fewer. */
    receive(report: RoomReport, instance: string): void {
        const known = this.getTarget(report);
        switch (report.kind) {
            case "released":
                this.record(known, instance, Math.max(0, getOpen(known, instance) - 1));
                break;
            case "open":
                this.record(known, instance, report.open);
                break;
            case "rejected":
                known.room = Math.max(1, Math.min(known.room, this.countOpen(known)) - 1);
                known.changedAtMs = this.opts.nowMs();
        }
    }

    /** Forgets the sends of an instance. */
    remove(instance: string): void {
        this.targets.list().forEach(([, { byInstance }]) => byInstance.delete(instance));
    }

    private getTarget({ target, slots }: RoomRequest): TargetRoom {
        const known = this.targets.get(target) ?? {
            byInstance: new Map<string, InstanceSends>(),
            room: getMaxRoom(slots),
            changedAtMs: this.opts.nowMs(),
        };
        this.targets.set(target, known);
        return known;
    }

    private record({ byInstance }: TargetRoom, instance: string, open: number): void {
        byInstance.set(instance, { open, atMs: this.opts.nowMs() });
    }

    private grow(known: TargetRoom, slots: number): void {
        if (this.opts.nowMs() - known.changedAtMs > GROW_INTERVAL_MS) {
            known.room = Math.min(getMaxRoom(slots), known.room + 1);
            known.changedAtMs = this.opts.nowMs();
        }
    }

    private countOpen({ byInstance }: TargetRoom): number {
        const horizonMs = this.opts.nowMs() - REPORT_TTL_MS;
        byInstance.forEach(({ atMs }, instance) => atMs < horizonMs && byInstance.delete(instance));
        return [...byInstance.values()].reduce((sum, { open }) => sum + open, 0);
    }
}

const getOpen = ({ byInstance }: TargetRoom, instance: string): number => byInstance.get(instance)?.open ?? 0;

/** Most sends that are open at a target with so many slots. */
export const getMaxRoom = (slots: number): number => Math.max(1, Math.floor(slots * SLOT_SHARE));
