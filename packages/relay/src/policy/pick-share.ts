import type { SplitShare } from "../document/relay-document.js";

/** The service that a number from 0 up to but without 1 falls on, by the weights of the shares. */
export const pickShare = (shares: readonly SplitShare[], at: number): string => {
    const total = shares.reduce((sum, share) => sum + share.weight, 0);
    let left = at * total;
    for (const share of shares) {
        left -= share.weight;
        if (left < 0) {
            return share.service;
        }
    }
    return (shares.find(share => share.weight > 0) ?? shares[0])?.service ?? "";
};
