import { createInstanceInfo } from "@ospreyreel/peer/fixtures";
import type { InstanceInfo } from "@ospreyreel/types";
import test from "ava";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { drawNamed } from "./caller-placement.js";

const LARGE = 6;
const SMALL = 84;

const createMixedFleet = (): readonly InstanceInfo[] => [
    ...Array.from({ length: LARGE }, (_, at) => createInstanceInfo(`large-${at}`, 1.35)),
    ...Array.from({ length: SMALL }, (_, at) => createInstanceInfo(`small-${at}`, 0.324)),
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

test("load pattern, callers that take any address for each request: none gets much more than its cores' part", t => {
    const random = createRandom(2);
    const fleet = createMixedFleet();
    const counts = new Map<string, number>();
    const draws = 2_000;
    for (let draw = 0; draw < draws; draw++) {
        const { instance } = pick(drawNamed(fleet, { random }), random);
        counts.set(instance, (counts.get(instance) ?? 0) + 1);
    }
    const cores = fleet.reduce((sum, info) => sum + (info.cores ?? 1), 0);
    for (const info of fleet) {
        const part = (info.cores ?? 1) / cores;
        t.true((counts.get(info.instance) ?? 0) / draws < 2.5 * part, info.instance);
    }
});

test("a fleet of a few equal instances is named whole, and a large one of equal instances evenly", t => {
    const random = createRandom(3);
    const few = Array.from({ length: 8 }, (_, at) => createInstanceInfo(`i-${at}`));
    t.is(new Set(drawNamed(few, { random })).size, few.length);
    const many = Array.from({ length: 400 }, (_, at) => createInstanceInfo(`i-${at}`));
    const seen = new Set(Array.from({ length: 200 }, () => drawNamed(many, { random })).flat());
    t.is(seen.size, many.length);
});
