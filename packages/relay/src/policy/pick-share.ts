import type { SplitShare } from "../document/relay-document.js";

/** Picks a service by the weights of the shares, from a number in [0, 1). */
export const pickShare = (shares: readonly SplitShare[], at: number): string => {
    const total = shares.reduce((sum, share) => sum + share.weight, 0);
    let remaining = at * total;
    for (const share of shares) {
        remaining -= share.weight;
        if (remaining < 0) {
            return share.service;
        }
    }
    return (shares.find(share => share.weight > 0) ?? shares[0])?.service ?? "";
};
