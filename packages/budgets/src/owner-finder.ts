import type { PeerHub } from "@ospreyreel/peer";
import type { BudgetDrawAnswer, BudgetDrawRequest } from "@ospreyreel/types";
import type { BudgetOwner } from "./budget-owner.js";
import { getShard, orderOwners } from "./budget-shards.js";

/** What a finder needs. */
export interface OwnerFinderOptions {
    readonly hub: PeerHub;
    /** The owner in this very process. */
    readonly owner: BudgetOwner;
}

/** Instances that are asked for one draw, the last one named included. */
const MAX_HOPS = 4;

/** Longest wait for one instance, and time in which others are asked; its wait for the KV service, and the way. */
const DRAW_TIMEOUT_MS = 250;

/** Time for which an owner that did not answer is not asked again, in milliseconds. */
const SILENT_FOR_MS = 400;

/** Finds the owner of a budget and draws there. */
export class OwnerFinder {
    private readonly owners = new Map<number, string>();
    private readonly silentUntilMs = new Map<string, number>();

    constructor(private readonly opts: OwnerFinderOptions) {}

    /** Draws at the owner, or has the instance that should own the budget claim it; does not throw. */
    async draw(req: BudgetDrawRequest): Promise<BudgetDrawAnswer> {
        const shard = getShard(req.budget);
        const asked = new Set<string>();
        let cause = "no instance could be asked";
        let next = this.owners.get(shard) ?? this.getPreferred(shard, asked);
        const endsAtMs = performance.now() + DRAW_TIMEOUT_MS;
        for (let hop = 0; hop < MAX_HOPS && next !== undefined && performance.now() < endsAtMs; hop++) {
            asked.add(next);
            const answer = await this.ask(next, req);
            if (answer.kind === "granted" || answer.kind === "exhausted") {
                this.owners.set(shard, next);
                return answer;
            }
            if (answer.kind === "unavailable" && answer.isOwner) {
                return answer;
            }
            this.owners.delete(shard);
            if (answer.kind === "unavailable") {
                cause = answer.cause;
            }
            const named = answer.kind === "elsewhere" ? answer.owner : undefined;
            next = named !== undefined && !asked.has(named) ? named : this.getPreferred(shard, asked);
        }
        return { kind: "unavailable", cause, isOwner: false };
    }

    private async ask(incarnation: string, req: BudgetDrawRequest): Promise<BudgetDrawAnswer> {
        const { hub, owner } = this.opts;
        const self = hub.self();
        if (incarnation === self.incarnation) {
            return await owner.draw(req, self);
        }
        if (performance.now() < (this.silentUntilMs.get(incarnation) ?? 0)) {
            return { kind: "unavailable", cause: "the owner did not answer a moment ago", isOwner: false };
        }
        try {
            return await hub.request(incarnation, "budget.draw", req, DRAW_TIMEOUT_MS);
        }
        catch (err) {
            this.silentUntilMs.set(incarnation, performance.now() + SILENT_FOR_MS);
            return { kind: "unavailable", cause: err instanceof Error ? err.message : String(err), isOwner: false };
        }
    }

    /** The first live instance that should own the shard and was not asked yet. */
    private getPreferred(shard: number, asked: ReadonlySet<string>): string | undefined {
        const { hub } = this.opts;
        const live = [hub.self(), ...hub.peers()].filter(info => info.state === "live");
        return orderOwners(shard, live).find(info => !asked.has(info.incarnation))?.incarnation;
    }
}
