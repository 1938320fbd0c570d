/** Measures the order of addresses: `node dist/measure/address-order.js [INSTANCES...]`; prints a table in ms. */
import type { InstanceInfo } from "@ospreyreel/types";
import { createHash } from "node:crypto";
import { AddressBook } from "../address-book.js";
import { RendezvousAddressOrder } from "../rendezvous-address-order.js";

const HOST = "127.0.0.1";
const ZONE_COUNT = 19;
const BUDGET_COUNT = 1_000;
const RUNS = 200;
const CHANGES = 20;

const createInstances = (count: number): readonly InstanceInfo[] =>
    Array.from({ length: count }, (_, i) => ({
        instance: `instance-${i}`,
        incarnation: `incarnation-${i}`,
        availabilityZone: `zone-${i % ZONE_COUNT}`,
        region: "region",
        caller: { host: HOST, port: i },
        peer: { host: HOST, port: i },
        state: "live",
        configRevision: 1,
    }));

const getMedianMs = (runs: number, run: (i: number) => void): string => {
    const times = Array.from({ length: runs }, (_, i) => {
        const startedAtMs = performance.now();
        run(i);
        return performance.now() - startedAtMs;
    });
    return (times.toSorted((a, b) => a - b)[Math.floor(runs / 2)] ?? 0).toFixed(3);
};

const measure = (count: number): Record<string, number | string> => {
    const instances = createInstances(count);
    const shards = Math.max(16, count);
    const policy = new RendezvousAddressOrder();
    const budgetShare = 1 / BUDGET_COUNT;
    let known = instances;
    const book = new AddressBook({
        // A new list for each call, as a hub returns it.
        getInstances: () => [...known],
        policy,
        shards,
        shardOf: budget => createHash("sha256").update(budget).digest().readUInt32BE(0) % shards,
        getBudgetShare: () => budgetShare,
    });
    const budgetOf = (i: number): string => `budget-${i % BUDGET_COUNT}`;
    const withoutBook = (i: number): void => void policy.order({ budget: budgetOf(i), budgetShare, instances });
    const withBook = (i: number): void => void book.order(budgetOf(i), { turn: i });
    const directoryInstances = (i: number): void => void book.getDirectoryInstances(budgetOf(0), `key-${i}`);
    const change = (i: number): void => {
        known = instances.filter((_, index) => index !== i);
        book.order(budgetOf(i));
    };
    return {
        instances: count,
        shards,
        "order worked out for each answer": getMedianMs(RUNS, withoutBook),
        "order from the book, shard asked for first": getMedianMs(Math.min(RUNS, shards), withBook),
        "order from the book, shard kept": getMedianMs(RUNS, i => withBook(i % 10)),
        "homes of a request key": getMedianMs(RUNS, directoryInstances),
        "first answer after a change": getMedianMs(CHANGES, change),
    };
};

const counts = process.argv.slice(2).map(Number);
console.table((counts.length > 0 ? counts : [8, 100, 1_200]).map(measure));
