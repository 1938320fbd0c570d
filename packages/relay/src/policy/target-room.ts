import type { TargetLoad } from "../load/target-loads.js";

/** What the free capacity of one target is estimated by. */
export interface TargetRoom {
    readonly slots: number;
    /** This instance's requests in flight at it. */
    readonly ownRequests: number;
    /** Whether it gets no requests now, since it was full, is paused, limited or ejected. */
    readonly isBlocked: boolean;
    /** Its load over all instances; undefined where that is not known. */
    readonly load: TargetLoad | undefined;
}

/** Share of a target's capacity that would be used with more tokens, 0 to 1; by this instance's requests where no report counts. */
export const getBusyShare = ({ slots, ownRequests, isBlocked, load }: TargetRoom, moreTokens = 0): number => {
    if (isBlocked) {
        return 1;
    }
    const own = Math.min(1, ownRequests / Math.max(1, slots));
    if (load === undefined) {
        return own;
    }
    const { running, queued, usedTokens, capacityTokens, weight } = load;
    const memory = capacityTokens === 0 ? 0 : (usedTokens + moreTokens) / capacityTokens;
    const reported = queued > 0 ? 1 : Math.min(1, Math.max(running / Math.max(1, slots), memory));
    return weight * reported + (1 - weight) * own;
};

/** Share of the capacity of several targets that is used, 0 to 1; 1 where there are none. */
export const getFleetBusyShare = (targets: readonly TargetRoom[]): number => {
    const slots = targets.reduce((sum, target) => sum + target.slots, 0);
    const busy = targets.reduce((sum, target) => sum + target.slots * getBusyShare(target), 0);
    return slots === 0 ? 1 : busy / slots;
};
