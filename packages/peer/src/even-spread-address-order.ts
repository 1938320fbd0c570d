import type { InstanceInfo } from "@ospreyreel/types";
import { AddressOrderPolicy, type AddressOrderRequest, rotate } from "./address-order.js";

/** Spreads every budget over all instances in turn; the baseline for measuring other policies. */
export class EvenSpreadAddressOrder extends AddressOrderPolicy {
    getSpread(...[, live]: Parameters<AddressOrderPolicy["getSpread"]>): number {
        return live;
    }

    protected arrange(req: AddressOrderRequest, live: readonly InstanceInfo[]): readonly InstanceInfo[] {
        const byName = [...live].sort((a, b) => (a.instance < b.instance ? -1 : 1));
        return rotate(byName, req.turn ?? 0);
    }
}
