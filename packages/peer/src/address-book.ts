import type { InstanceInfo } from "@ospreyreel/types";
import { getAddressKey } from "./address-key.js";
import type { AddressOrderPolicy, AddressOrderRequest } from "./address-order.js";
import { NameScores } from "./name-scores.js";
import { getShardKey, placeShards } from "./place-shards.js";

/** Options of {@link AddressBook}. */
export interface AddressBookOptions {
    /** Known instances, this one included. */
    readonly getInstances: () => readonly InstanceInfo[];
    readonly policy: AddressOrderPolicy;
    /** Number of the ledger's shards; the same at all instances of the fleet. */
    readonly shards: number;
    readonly shardOf: (budget: string) => number;
    /** Part of the fleet's traffic that draws on a budget, 0 to 1. */
    readonly getBudgetShare: (budget: string) => number;
    /** Maximum number of shards whose order is cached; 128 by default. */
    readonly maxOrders?: number;
}

/** Live instances in a shard's order of preference. */
interface ShardOrder {
    /** The instances at which the shard is placed, then the others by score. */
    readonly placed: readonly InstanceInfo[];
    readonly placedCount: number;
    /** By score alone, so that a join or a loss does not move other instances. */
    readonly scored: readonly InstanceInfo[];
}

const DEFAULT_MAX_ORDERS = 128;
/** Directory instances of a request key: the loss of one must not hide a run. */
const DIRECTORY_INSTANCES_PER_KEY = 2;
/** Minimum number of instances over which the request keys of a shard's budgets are spread. */
const MIN_DIRECTORY_CANDIDATES = 4;

/** Whether two infos are equal for callers; the configuration revision changes often and is ignored. */
const isEqualForCallers = (a: InstanceInfo, b: InstanceInfo | undefined): boolean =>
    a === b || (b !== undefined
        && a.instance === b.instance
        && a.incarnation === b.incarnation
        && a.state === b.state
        && a.availabilityZone === b.availabilityZone
        && getAddressKey(a.caller) === getAddressKey(b.caller));

/** Returns indexes by descending score. */
const rankByScore = (scores: Uint32Array): readonly number[] =>
    [...scores.keys()].sort((a, b) => (scores[b] ?? 0) - (scores[a] ?? 0));

const compareNames = (a: InstanceInfo, b: InstanceInfo): number => (a.instance < b.instance ? -1 : 1);

/**
 * Orders instances for budgets, by the shard of their record: callers of a shard's budgets use the same few instances,
 * as each instance writes each shard that it draws on. Caches orders until the membership changes; compares the
 * membership at each call instead of subscribing to changes, so that no order is older than the membership.
 */
export class AddressBook {
    private instances: readonly InstanceInfo[] = [];
    private liveInstances: readonly InstanceInfo[] = [];
    private nameScores = new NameScores([]);
    private placements: readonly (readonly number[])[] = [];
    private readonly orders = new Map<number, ShardOrder>();

    constructor(private readonly opts: AddressBookOptions) {}

    /** Shards whose order is cached, least recently used first. */
    get cachedShards(): readonly number[] {
        return [...this.orders.keys()];
    }

    /** Live instances for callers of a budget, the preferred one first. */
    order(
        budget: string,
        callerOpts: Pick<AddressOrderRequest, "availabilityZone" | "turn"> = {},
    ): readonly InstanceInfo[] {
        return this.arrange(budget, this.opts.getBudgetShare(budget), callerOpts);
    }

    /** Returns the incarnation of the instance that gathers the remainder of a nearly exhausted budget. */
    getGathererIncarnation(budget: string): string | undefined {
        return this.arrange(budget, 0)[0]?.incarnation;
    }

    /**
     * Returns the directory instances of a request key, which record the instances that accepted it. They are chosen by
     * the key among the first few of the budget's shard, so that few links are needed; a large budget has more
     * candidates. One join or loss leaves one of the two unchanged, which bounded placement would not.
     */
    getDirectoryInstances(budget: string, key: string): readonly InstanceInfo[] {
        const { scored } = this.getOrder(budget);
        const spread = this.opts.policy.getSpread(this.opts.getBudgetShare(budget), scored.length);
        const candidates = scored.slice(0, Math.max(MIN_DIRECTORY_CANDIDATES, spread));
        const scores = new NameScores(candidates.map(info => info.instance)).getScores(key);
        return rankByScore(scores).slice(0, DIRECTORY_INSTANCES_PER_KEY).flatMap(index => candidates[index] ?? []);
    }

    private arrange(
        budget: string,
        budgetShare: number,
        callerOpts: Pick<AddressOrderRequest, "availabilityZone" | "turn"> = {},
    ): readonly InstanceInfo[] {
        const { placed, placedCount } = this.getOrder(budget);
        return this.opts.policy.order({ ...callerOpts, instances: placed, placedCount, budget, budgetShare });
    }

    private getOrder(budget: string): ShardOrder {
        this.refresh();
        const shard = this.opts.shardOf(budget);
        const order = this.orders.get(shard) ?? this.createOrder(shard);
        // Removed and added again, so that the least recently used shard comes first.
        this.orders.delete(shard);
        this.orders.set(shard, order);
        if (this.orders.size > (this.opts.maxOrders ?? DEFAULT_MAX_ORDERS)) {
            const [oldest = shard] = this.orders.keys();
            this.orders.delete(oldest);
        }
        return order;
    }

    private createOrder(shard: number): ShardOrder {
        const placement = this.placements[shard] ?? [];
        const ranked = rankByScore(this.nameScores.getScores(getShardKey(shard)));
        const placedIndexes = new Set(placement);
        const others = ranked.filter(index => !placedIndexes.has(index));
        const getInfos = (indexes: readonly number[]): readonly InstanceInfo[] =>
            indexes.flatMap(index => this.liveInstances[index] ?? []);
        return { placed: getInfos([...placement, ...others]), placedCount: placement.length, scored: getInfos(ranked) };
    }

    private refresh(): void {
        const { instances } = this;
        this.instances = this.opts.getInstances();
        if (
            this.instances.length === instances.length
            && this.instances.every((info, index) => isEqualForCallers(info, instances[index]))
        ) {
            return;
        }
        this.liveInstances = this.instances.filter(info => info.state === "live").sort(compareNames);
        const names = this.liveInstances.map(info => info.instance);
        this.nameScores = new NameScores(names);
        this.placements = placeShards({ shards: this.opts.shards, names });
        this.orders.clear();
    }
}
