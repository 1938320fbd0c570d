import { AddressBook, NameScores, RendezvousAddressOrder } from "@ospreyreel/peer";
import { createInstances, createShardOf, type FleetShape, getBudgetName } from "./fleet-shape.js";

/** How one way to order addresses spreads the traffic. */
export interface PlacementFigures {
    /** Pairs of instance and shard that are drawn on. */
    readonly pairs: number;
    /** Traffic of the busiest instance, as a multiple of the mean. */
    readonly largest: number;
    /** Instances without traffic. */
    readonly idle: number;
}

/** Ways to order addresses: by the budget's name, by its shard alone, and as the address book does. */
export const placementWays = ["name", "shard", "book"] as const;

/** One way to order addresses. */
export type PlacementWay = typeof placementWays[number];

/** The first instances of a budget's order, by name. */
type FirstInstances = (budget: string, count: number) => readonly string[];

const createNameOrder = (shape: FleetShape, getKey: (budget: string) => string): FirstInstances => {
    const names = createInstances(shape).map(info => info.instance);
    const nameScores = new NameScores(names);
    return (budget, count) => {
        const scores = nameScores.getScores(getKey(budget));
        const best: number[] = [];
        while (best.length < count) {
            const index = scores.indexOf(scores.reduce((a, b) => Math.max(a, b)));
            best.push(index);
            scores[index] = 0;
        }
        return best.flatMap(index => names[index] ?? []);
    };
};

const createBookOrder = (shape: FleetShape): FirstInstances => {
    const instances = createInstances(shape);
    const shares = new Map(shape.shares.map((share, rank) => [getBudgetName(shape, rank), share]));
    const book = new AddressBook({
        getInstances: () => instances,
        policy: new RendezvousAddressOrder(),
        shards: shape.shards,
        shardOf: createShardOf(shape),
        getBudgetShare: budget => shares.get(budget) ?? 0,
        maxOrders: shape.shards,
    });
    // Each answer's turn puts another instance first.
    return (budget, count) =>
        Array.from({ length: count }, (_, turn) => book.order(budget, { turn })[0]?.instance ?? "");
};

const createOrder = (shape: FleetShape, way: PlacementWay): FirstInstances => {
    const shardOf = createShardOf(shape);
    switch (way) {
        case "name":
            return createNameOrder(shape, budget => budget);
        case "shard":
            return createNameOrder(shape, budget => `shard-${shardOf(budget)}`);
        default:
            return createBookOrder(shape);
    }
};

/** Works out how a way to order addresses spreads the traffic of all budgets. */
export const getPlacementFigures = (shape: FleetShape, way: PlacementWay): PlacementFigures => {
    const policy = new RendezvousAddressOrder();
    const shardOf = createShardOf(shape);
    const getFirst = createOrder(shape, way);
    const pairs = new Set<string>();
    const loads = new Map<string, number>();
    for (const [rank, share] of shape.shares.entries()) {
        const budget = getBudgetName(shape, rank);
        const first = getFirst(budget, policy.getSpread(share, shape.instances));
        for (const instance of first) {
            pairs.add(`${instance} ${shardOf(budget)}`);
            loads.set(instance, (loads.get(instance) ?? 0) + share / first.length);
        }
    }
    const largest = Math.max(...loads.values()) * shape.instances;
    return { pairs: pairs.size, largest, idle: shape.instances - loads.size };
};
