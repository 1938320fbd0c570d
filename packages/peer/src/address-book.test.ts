import type { InstanceInfo } from "@ospreyreel/types";
import test from "ava";
import * as fc from "fast-check";
import { AddressBook, type AddressBookOptions } from "./address-book.js";
import { createInfo } from "./hub-fixtures.js";
import { RendezvousAddressOrder } from "./rendezvous-address-order.js";

const SHARDS = 100;

/** Budgets are named `SHARD/NAME`. */
const shardOf = (budget: string): number => Number(budget.split("/")[0]);

const createBook = (opts: Pick<AddressBookOptions, "getInstances"> & Partial<AddressBookOptions>): AddressBook =>
    new AddressBook({
        policy: new RendezvousAddressOrder(),
        shards: SHARDS,
        shardOf,
        getBudgetShare: () => 0,
        ...opts,
    });

const createInstances = (count: number): readonly InstanceInfo[] =>
    Array.from({ length: count }, (_, i) => createInfo({ instance: `r-${i}`, availabilityZone: `zone-${i % 7}` }));

const names = (infos: readonly InstanceInfo[]): readonly string[] => infos.map(info => info.instance);

const budgets = Array.from({ length: 3_000 }, (_, i) => `${i % SHARDS}/b-${i}`);

test("callers of a shard's budgets are directed to the same two instances", t => {
    const instances = createInstances(100);
    const book = createBook({ getInstances: () => instances });
    const pairs = new Set(budgets.map(budget => `${shardOf(budget)} ${book.order(budget)[0]?.instance}`));
    t.is(pairs.size, 2 * SHARDS);
    const gatherers = new Set(budgets.map(budget => `${shardOf(budget)} ${book.getGathererIncarnation(budget)}`));
    t.is(gatherers.size, 2 * SHARDS);
});

test("an order has each live instance once; a budget is gathered at the first of them", t => {
    const instances = [...createInstances(30), createInfo({ instance: "gone", state: "leaving" })];
    const book = createBook({ getInstances: () => instances });
    for (const budget of budgets.slice(0, 200)) {
        const order = book.order(budget);
        t.deepEqual([...names(order)].sort(), [...names(instances.slice(0, 30))].sort());
        t.is(book.getGathererIncarnation(budget), order[0]?.incarnation);
    }
});

test("a large budget is spread over its share of the instances, which includes those of its shard", t => {
    const instances = createInstances(100);
    const first = (getBudgetShare: () => number): ReadonlySet<string> => {
        const book = createBook({ getInstances: () => instances, getBudgetShare });
        return new Set([...Array(100).keys()].flatMap(turn => names(book.order("7/large", { turn })).slice(0, 1)));
    };
    const large = first(() => 0.2);
    t.is(large.size, 30);
    t.true([...first(() => 0.01)].every(name => large.has(name)));
});

/** A member after a step of a test; undefined where it was removed. */
const steps = fc.array(
    fc.record({
        index: fc.nat(9),
        info: fc.option(
            fc.record({
                state: fc.constantFrom("live", "leaving"),
                availabilityZone: fc.constantFrom("zone-a", "zone-b"),
                incarnation: fc.constantFrom("first", "second"),
                configRevision: fc.nat(3),
                caller: fc.record({ host: fc.constant("127.0.0.1"), port: fc.constantFrom(1, 2) }),
            }),
            { nil: undefined },
        ),
    }),
    { maxLength: 20 },
);

test("cached orders are as current as the membership, except for configuration revisions", t => {
    const withoutRevision = (infos: readonly InstanceInfo[]): readonly InstanceInfo[] =>
        infos.map(info => ({ ...info, configRevision: 0 }));
    fc.assert(
        fc.property(steps, changes => {
            const members = new Map(createInstances(10).map((info, index) => [index, info]));
            const getInstances = (): readonly InstanceInfo[] => [...members.values()];
            const book = createBook({ getInstances });
            for (const { index, info } of changes) {
                members.delete(index);
                if (info !== undefined) {
                    members.set(index, createInfo({ instance: `r-${index}`, ...info }));
                }
                const fresh = createBook({ getInstances });
                t.deepEqual(withoutRevision(book.order("3/b")), withoutRevision(fresh.order("3/b")));
                t.is(book.getGathererIncarnation("3/b"), fresh.getGathererIncarnation("3/b"));
            }
        }),
        { seed: 1 },
    );
});

test("a new configuration revision does not recompute orders", t => {
    let instances = createInstances(10);
    const book = createBook({ getInstances: () => instances });
    const [before] = book.order("3/b");
    instances = instances.map(info => ({ ...info, configRevision: 7 }));
    t.is(book.order("3/b")[0], before);
});

test("the number of cached orders is bounded, and the least recently used one is evicted first", t => {
    const instances = createInstances(10);
    const book = createBook({ getInstances: () => instances, maxOrders: 3 });
    for (const shard of [1, 2, 3, 1, 4]) {
        book.order(`${shard}/b`);
    }
    t.deepEqual(book.cachedShards, [3, 1, 4]);
});

const keys = Array.from({ length: 2_000 }, (_, i) => `key-${i}`);

test("the keys of a small budget use 4 directory instances, those of a large one its share of the instances", t => {
    const instances = createInstances(100);
    for (const [share, spread] of [[0, 4], [0.2, 30]] as const) {
        const book = createBook({ getInstances: () => instances, getBudgetShare: () => share });
        const counts = new Map<string, number>();
        for (const key of keys) {
            const directory = names(book.getDirectoryInstances("7/b", key));
            t.is(new Set(directory).size, 2);
            directory.forEach(name => counts.set(name, (counts.get(name) ?? 0) + 1));
        }
        t.is(counts.size, spread);
        t.true(Math.max(...counts.values()) < 2 * Math.min(...counts.values()));
    }
});

test("a join or a loss keeps at least one of a key's two directory instances", t => {
    const instances = createInstances(100);
    const directoryOf = (all: readonly InstanceInfo[], key: string): readonly string[] =>
        names(createBook({ getInstances: () => all }).getDirectoryInstances("7/b", key));
    const whole = keys.slice(0, 20).map(key => directoryOf(instances, key));
    for (const lost of instances) {
        const left = instances.filter(info => info !== lost);
        const book = createBook({ getInstances: () => left });
        for (const [index, key] of keys.slice(0, 20).entries()) {
            t.true(names(book.getDirectoryInstances("7/b", key)).some(home => whole[index]?.includes(home)));
        }
    }
});
