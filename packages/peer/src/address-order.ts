import type { InstanceInfo } from "@ospreyreel/types";

/** Input of {@link AddressOrderPolicy}. */
export interface AddressOrderRequest {
    readonly budget: string;
    /** Part of the fleet's traffic that draws on the budget, 0 to 1. */
    readonly budgetShare: number;
    /** Known instances, this one included. */
    readonly instances: readonly InstanceInfo[];
    /**
     * Number of live instances, counted from the start of `instances`, that serve the budgets of the same shard. The
     * budget's own order is computed among these; the others follow as given. All by default.
     */
    readonly placedCount?: number | undefined;
    /** Availability zone of the caller, where known. */
    readonly availabilityZone?: string | undefined;
    /** Increases with each response, so that callers are spread; 0 by default. */
    readonly turn?: number;
}

/** Decides which instances the callers of a budget use, and in which order. */
export abstract class AddressOrderPolicy {
    /** Live instances, the preferred one first and the second in another zone where one is live. */
    order(req: AddressOrderRequest): readonly InstanceInfo[] {
        const live = req.instances.filter(info => info.state === "live");
        return moveOtherZoneSecond(this.arrange(req, live));
    }

    /** Returns the number of instances, out of those live, that a budget is spread over. */
    abstract getSpread(budgetShare: number, live: number): number;

    /** Orders the live instances; `order` ensures the zone of the second one. */
    protected abstract arrange(req: AddressOrderRequest, live: readonly InstanceInfo[]): readonly InstanceInfo[];
}

/** Moves the first instance of another zone to the second place, so that a caller survives the loss of a zone. */
const moveOtherZoneSecond = (order: readonly InstanceInfo[]): readonly InstanceInfo[] => {
    const [first, ...rest] = order;
    const second = rest.find(info => info.availabilityZone !== first?.availabilityZone);
    if (first === undefined || second === undefined) {
        return order;
    }
    return [first, second, ...rest.filter(info => info !== second)];
};

/** Moves the first `turn` items, modulo the length, to the end. */
export const rotate = <T>(items: readonly T[], turn: number): readonly T[] => {
    const count = items.length === 0 ? 0 : turn % items.length;
    return [...items.slice(count), ...items.slice(0, count)];
};
