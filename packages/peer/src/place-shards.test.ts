import test from "ava";
import { placeShards } from "./place-shards.js";

const getNames = (count: number): readonly string[] => Array.from({ length: count }, (_, index) => `instance-${index}`);

const getLoads = (names: readonly string[], places: readonly (readonly number[])[]): readonly number[] =>
    names.map((_, index) => places.filter(placement => placement.includes(index)).length);

const shapes = [[3, 16, 2, 14], [8, 16, 2, 5], [100, 100, 2, 3], [300, 16, 29, 2]] as const;

for (const [instances, shards, placements, maxLoad] of shapes) {
    test(`${shards} shards at ${instances} instances: ${placements} placements each, at most ${maxLoad} at an instance`, t => {
        const names = getNames(instances);
        const places = placeShards({ shards, names });
        t.is(places.length, shards);
        t.true(places.every(place => place.length === placements && new Set(place).size === placements));
        t.true(Math.max(...getLoads(names, places)) <= maxLoad);
    });
}

test("a shard is placed at all instances where there are fewer than its placements", t => {
    t.deepEqual(placeShards({ shards: 3, names: ["a"] }), [[0], [0], [0]]);
    t.deepEqual(placeShards({ shards: 3, names: [] }), [[], [], []]);
    t.true(placeShards({ shards: 3, names: ["a", "b"] }).every(placement => new Set(placement).size === 2));
});

test("the loss of an instance moves few placements at other instances", t => {
    const names = getNames(100);
    const placesOf = (live: readonly string[]): readonly (readonly (string | undefined)[])[] =>
        placeShards({ shards: 100, names: live }).map(placement => placement.map(index => live[index]));
    const before = placesOf(names);
    const moved = names.map(lost => {
        const after = placesOf(names.filter(name => name !== lost));
        return before.flatMap((placement, shard) =>
            placement.filter(name => name !== lost && !after[shard]?.includes(name))
        );
    });
    // Of 200 placements; those at the lost instance are 2 on average.
    const mean = moved.reduce((sum, placement) => sum + placement.length, 0) / names.length;
    t.log(`placements moved beside those at the lost instance: ${mean.toFixed(2)} of 200`);
    t.true(mean < 10, String(mean));
});
