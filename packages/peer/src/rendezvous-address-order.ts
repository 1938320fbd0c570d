import type { InstanceInfo } from "@ospreyreel/types";
import { AddressOrderPolicy, type AddressOrderRequest, rotate } from "./address-order.js";
import { rendezvousOrder } from "./rendezvous.js";

/** Options of {@link RendezvousAddressOrder}. */
export interface RendezvousAddressOrderOptions {
    /** Minimum number of instances for a budget; 1 by default. */
    readonly minSpread?: number;
    /** Factor on the proportional number of instances for a budget; 1.5 by default. */
    readonly headroom?: number;
}

const DEFAULTS = { minSpread: 1, headroom: 1.5 };

/**
 * Keeps each budget on as few instances as its traffic needs, so that its grants are not scattered.
 * Instances are ranked by name, so that a restarted one keeps its budgets.
 */
export class RendezvousAddressOrder extends AddressOrderPolicy {
    private readonly opts: Required<RendezvousAddressOrderOptions>;

    constructor(opts: RendezvousAddressOrderOptions = {}) {
        super();
        this.opts = { ...DEFAULTS, ...opts };
    }

    getSpread(budgetShare: number, live: number): number {
        const proportional = Math.ceil(budgetShare * live * this.opts.headroom);
        return Math.min(live, Math.max(this.opts.minSpread, proportional));
    }

    protected arrange(req: AddressOrderRequest, live: readonly InstanceInfo[]): readonly InstanceInfo[] {
        const placed = live.slice(0, req.placedCount ?? live.length);
        const ranked = [...rendezvousOrder(req.budget, placed, info => info.instance), ...live.slice(placed.length)];
        const spread = this.getSpread(req.budgetShare, live.length);
        const preferred = rotate(ranked.slice(0, spread), req.turn ?? 0);
        const near = preferred.filter(info => info.availabilityZone === req.availabilityZone);
        const far = preferred.filter(info => info.availabilityZone !== req.availabilityZone);
        return [...near, ...far, ...ranked.slice(spread)];
    }
}
