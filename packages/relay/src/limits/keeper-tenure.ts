import { BoundedMap } from "../bounded-map.js";
import type { ResponsibleInstances } from "../instance/responsible-instances.js";
import type { FleetContact } from "./fleet-contact.js";

/** Options of {@link KeeperTenure}. */
export interface KeeperTenureOptions {
    readonly keepers: Pick<ResponsibleInstances, "isFirst">;
    readonly contact: Pick<FleetContact, "membersChangedAtMs">;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
}

/**
 * Time after which a new keeper hands out, in milliseconds. By then the one before has noticed that it is no longer the keeper: its list
 * of instances is a second old at most, and a new instance becomes known in less than another.
 */
const TAKEOVER_MS = 2_000;

/** Time after which an instance that asked one that is not the keeper asks again, in milliseconds. */
const NOT_KEEPER_WAIT_MS = 200;

const MAX_KEYS = 4_096;

/** Keeps two instances from handing out for the same target while the instances do not agree yet which of them is its keeper. */
export class KeeperTenure {
    private readonly sinceMs = new BoundedMap<number>(MAX_KEYS);

    constructor(private readonly opts: KeeperTenureOptions) {}

    /** Time until this instance may hand out for a key, in milliseconds; 0 where it may. */
    getWaitMs(key: string): number {
        const { keepers, contact, nowMs } = this.opts;
        if (!keepers.isFirst(key)) {
            this.sinceMs.delete(key);
            return NOT_KEEPER_WAIT_MS;
        }
        // Without a change of the members since, this instance was the keeper all along.
        const sinceMs = this.sinceMs.get(key) ?? contact.membersChangedAtMs;
        this.sinceMs.set(key, sinceMs);
        return Math.max(0, sinceMs + TAKEOVER_MS - nowMs());
    }
}
