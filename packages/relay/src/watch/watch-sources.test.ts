import { createInstanceInfo } from "@ospreyreel/peer/fixtures";
import type { InstanceInfo } from "@ospreyreel/types";
import test from "ava";
import { WatchSources } from "./watch-sources.js";

const LARGE_CORES = 1.35;
const SMALL_CORES = 0.324;

/** A fleet over three zones, of which every tenth instance is large. */
const createFleet = (size: number): readonly InstanceInfo[] =>
    Array.from({ length: size }, (_, at) => ({
        ...createInstanceInfo(`i${at}`, at % 10 === 0 ? LARGE_CORES : SMALL_CORES),
        availabilityZone: `zone-${at % 3}`,
    }));

const createSources = (fleet: readonly InstanceInfo[], self: InstanceInfo, nowMs = () => 0): WatchSources =>
    new WatchSources({ hub: { self: () => self, peers: () => fleet.filter(info => info !== self) }, nowMs });

const chooseAll = (fleet: readonly InstanceInfo[]): readonly (string | undefined)[] =>
    fleet.map(self => createSources(fleet, self).choose());

test("in a small fleet each instance reads for itself", t => {
    t.true(chooseAll(createFleet(16)).every(source => source === undefined));
});

test("the number of sources grows more slowly than the fleet, and large instances are chosen first", t => {
    for (const [size, most] of [[17, 3], [90, 5], [300, 9]] as const) {
        const fleet = createFleet(size);
        const chosen = chooseAll(fleet);
        const readers = fleet.filter((_, at) => chosen[at] === undefined);
        t.is(readers.length, most);
        t.true(readers.slice(0, Math.floor(size / 10)).every(info => info.cores === LARGE_CORES || size === 17));
        t.true(chosen.every(source => source === undefined || readers.some(info => info.incarnation === source)));
    }
});

test("a source in the same availability zone is chosen where there is one", t => {
    const fleet = createFleet(90);
    const chosen = chooseAll(fleet);
    const zoneOf = new Map(fleet.map(info => [info.incarnation, info.availabilityZone]));
    const sourceZones = new Set(fleet.filter((_, at) => chosen[at] === undefined).map(info => info.availabilityZone));
    fleet.forEach((info, at) => {
        const source = chosen[at];
        if (source !== undefined && sourceZones.has(info.availabilityZone)) {
            t.is(zoneOf.get(source), info.availabilityZone);
        }
    });
    t.pass();
});

test("a source that does not respond is not chosen for some time", t => {
    const fleet = createFleet(90);
    const requester = fleet.find((_, at) => chooseAll(fleet)[at] !== undefined) ?? createInstanceInfo("none");
    let nowMs = 0;
    const sources = createSources(fleet, requester, () => nowMs);
    const first = sources.choose() ?? "";
    sources.recordUnresponsive(first);
    t.not(sources.choose(), first);
    nowMs = 2_001;
    t.is(sources.choose(), first);
});
