import type { PeerHub } from "@ospreyreel/peer";
import type { BudgetDrawRequest, BudgetDrawResponse } from "@ospreyreel/types";
import type { BudgetOwner } from "./budget-owner.js";
import { getShard, orderOwners } from "./budget-shards.js";

/** Options of {@link OwnerFinder}. */
export interface OwnerFinderOptions {
    readonly hub: PeerHub;
    /** Owner of this instance, called without a peer request. */
    readonly owner: BudgetOwner;
}

/** Most instances that one draw is sent to, including an owner that the response of another one names. */
const MAX_HOPS = 4;

/**
 * Longest wait for one instance, and time within which further ones are tried, in milliseconds; covers the instance's
 * wait for the KV service and the round trip.
 */
const DRAW_TIMEOUT_MS = 250;

/** Time for which an instance that did not respond is not tried again, in milliseconds. */
const UNRESPONSIVE_FOR_MS = 400;

/** Finds the owner of a budget and sends it draws. */
export class OwnerFinder {
    private readonly owners = new Map<number, string>();
    private readonly unresponsiveUntilMs = new Map<string, number>();

    constructor(private readonly opts: OwnerFinderOptions) {}

    /** Sends a draw to the owner, or to the instance that should own the budget and then claims it; does not throw. */
    async draw(req: BudgetDrawRequest): Promise<BudgetDrawResponse> {
        const shard = getShard(req.budget);
        const tried = new Set<string>();
        let cause = "no instance could be asked";
        let next = this.owners.get(shard) ?? this.getPreferred(shard, tried);
        const endsAtMs = performance.now() + DRAW_TIMEOUT_MS;
        for (let hop = 0; hop < MAX_HOPS && next !== undefined && performance.now() < endsAtMs; hop++) {
            tried.add(next);
            const response = await this.requestDraw(next, req);
            if (response.kind === "granted" || response.kind === "exhausted") {
                if (response.epoch >= req.epoch) {
                    this.owners.set(shard, next);
                    return response;
                }
                // Counts of an earlier epoch would tell the later owner that all it has handed out was lost in transit.
                cause = "an earlier owner responded";
            }
            if (response.kind === "unavailable" && response.isOwner) {
                return response;
            }
            this.owners.delete(shard);
            if (response.kind === "unavailable") {
                cause = response.cause;
            }
            const named = response.kind === "elsewhere" ? response.owner : undefined;
            next = named !== undefined && !tried.has(named) ? named : this.getPreferred(shard, tried);
        }
        return { kind: "unavailable", cause, isOwner: false };
    }

    private async requestDraw(incarnation: string, req: BudgetDrawRequest): Promise<BudgetDrawResponse> {
        const { hub, owner } = this.opts;
        const self = hub.self();
        if (incarnation === self.incarnation) {
            return await owner.draw(req, self);
        }
        if (performance.now() < (this.unresponsiveUntilMs.get(incarnation) ?? 0)) {
            return { kind: "unavailable", cause: "the owner did not answer a moment ago", isOwner: false };
        }
        try {
            return await hub.request(incarnation, "budget.draw", req, DRAW_TIMEOUT_MS);
        }
        catch (err) {
            this.unresponsiveUntilMs.set(incarnation, performance.now() + UNRESPONSIVE_FOR_MS);
            return { kind: "unavailable", cause: err instanceof Error ? err.message : String(err), isOwner: false };
        }
    }

    /** Returns the preferred live owner of the shard among the instances not tried yet. */
    private getPreferred(shard: number, tried: ReadonlySet<string>): string | undefined {
        const { hub } = this.opts;
        const live = [hub.self(), ...hub.peers()].filter(info => info.state === "live");
        return orderOwners(shard, live).find(info => !tried.has(info.incarnation))?.incarnation;
    }
}
