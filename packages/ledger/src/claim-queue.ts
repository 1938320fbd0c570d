import { OspreyError } from "@ospreyreel/errors";
import { type Claim, getJournalKey, type JournalEntry } from "./journal-entry.js";
import type { ShardView } from "./shard-view.js";

/** A claim to be written, with the callbacks of its caller. */
export interface WaitingClaim {
    readonly claim: Claim;
    readonly resolve: (standing: Claim | undefined) => void;
    readonly reject: (err: unknown) => void;
}

/** Claims of one shard that wait to be written. */
export class ClaimQueue {
    private waiting: WaitingClaim[] = [];

    /** Number of waiting claims. */
    get size(): number {
        return this.waiting.length;
    }

    /** Queues a claim and returns the one that holds for its request; undefined where the request is billed. */
    async add(claim: Claim): Promise<Claim | undefined> {
        return await new Promise<Claim | undefined>((resolve, reject) => {
            this.waiting.push({ claim, resolve, reject });
        });
    }

    /** Currently waiting claims. */
    list(): readonly WaitingClaim[] {
        return [...this.waiting];
    }

    /** Journal entries of waiting claims whose request is neither claimed nor billed; the first of each request. */
    getEntries(view: ShardView): readonly JournalEntry[] {
        const first = new Map<string, Claim>();
        for (const { claim } of this.waiting) {
            const key = getJournalKey(claim.team, claim.requestKey);
            if (!view.claims.has(key) && !view.bills.has(key) && !first.has(key)) {
                first.set(key, claim);
            }
        }
        return [...first.values()].map(claim => ({ kind: "claim", claim }));
    }

    /** Resolves the given claims from the view that was written. */
    resolve(claims: readonly WaitingClaim[], view: ShardView): void {
        this.remove(claims);
        for (const { claim, resolve, reject } of claims) {
            const key = getJournalKey(claim.team, claim.requestKey);
            const billed = view.bills.has(key);
            const standing = billed ? undefined : view.claims.get(key);
            if (standing === undefined && !billed) {
                reject(new OspreyError("the claim was not written", { result: "claimUnavailable" }));
            }
            else {
                resolve(standing);
            }
        }
    }

    /** Rejects the given claims with an error. */
    reject(claims: readonly WaitingClaim[], err: unknown): void {
        this.remove(claims);
        claims.forEach(claimer => claimer.reject(err));
    }

    private remove(claims: readonly WaitingClaim[]): void {
        this.waiting = this.waiting.filter(claimer => !claims.includes(claimer));
    }
}
