import { createInstanceInfo } from "@ospreyreel/peer/fixtures";
import type { InstanceInfo } from "@ospreyreel/types";
import test from "ava";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { sampleInstances } from "./sample-instances.js";

const LARGE_COUNT = 6;
const SMALL_COUNT = 84;

const createMixedFleet = (): readonly InstanceInfo[] => [
    ...Array.from({ length: LARGE_COUNT }, (_, at) => createInstanceInfo(`large-${at}`, 1.35)),
    ...Array.from({ length: SMALL_COUNT }, (_, at) => createInstanceInfo(`small-${at}`, 0.324)),
];

const createRandom = (seed: number): () => number => {
    const generator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
};

const pick = <T>(items: readonly T[], random: () => number): T => {
    const item = items[Math.floor(random() * items.length)];
    if (item === undefined) {
        throw new Error("nothing to pick from");
    }
    return item;
};

test("load pattern, callers that pick a random address for each request: none far exceeds its share of cores", t => {
    const random = createRandom(2);
    const fleet = createMixedFleet();
    const counts = new Map<string, number>();
    const draws = 2_000;
    for (let draw = 0; draw < draws; draw++) {
        const { instance } = pick(sampleInstances(fleet, { random }), random);
        counts.set(instance, (counts.get(instance) ?? 0) + 1);
    }
    const cores = fleet.reduce((sum, info) => sum + (info.cores ?? 1), 0);
    for (const info of fleet) {
        const part = (info.cores ?? 1) / cores;
        t.true((counts.get(info.instance) ?? 0) / draws < 2.5 * part, info.instance);
    }
});

test("a small fleet of equal instances is returned in full, and a large one is sampled evenly", t => {
    const random = createRandom(3);
    const few = Array.from({ length: 8 }, (_, at) => createInstanceInfo(`i-${at}`));
    t.is(new Set(sampleInstances(few, { random })).size, few.length);
    const many = Array.from({ length: 400 }, (_, at) => createInstanceInfo(`i-${at}`));
    const seen = new Set(Array.from({ length: 200 }, () => sampleInstances(many, { random })).flat());
    t.is(seen.size, many.length);
});
