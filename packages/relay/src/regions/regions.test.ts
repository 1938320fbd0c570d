import { createInstanceInfo } from "@ospreyreel/peer/fixtures";
import test from "ava";
import { admit } from "../admission.js";
import { RouteTable } from "../document/route-table.js";
import { createDocument, createRoute } from "../fixtures/documents.js";
import { createRequest } from "../fixtures/plain-protocol.js";
import { createStart } from "../fixtures/quarantine-fleet.js";
import { AffinityPlacement } from "../policy/affinity-placement.js";
import { sampleInstances } from "../policy/sample-instances.js";
import { TargetDirectory } from "../targets/target-directory.js";
import { TargetSelector } from "../targets/target-selector.js";
import { ZoneRegions } from "./zone-regions.js";

const TEAM = { name: "team-1", keys: ["key-1"], priority: undefined, prepaidTokens: undefined };

/** Targets in zones of two regions, one in a zone without a region in the settings, and one in a zone that they do not name. */
const createSelector = () => {
    const zones = { "zone-a": "north", "zone-b": { region: "south" }, "zone-c": {} };
    const regions = new ZoneRegions({ zones, ownRegion: "own" });
    const directory = new TargetDirectory();
    for (const zone of ["zone-a", "zone-b", "zone-c", "zone-d"]) {
        directory.put({ ...createStart(zone, 1), availabilityZone: zone });
    }
    const selector = new TargetSelector({
        directory,
        placement: new AffinityPlacement(),
        availabilityZone: "zone-a",
        getConnectionLimit: () => 100,
        getRegion: target => regions.getRegion(target),
    });
    /** Ids of the targets that one request may be sent to, one after the other. */
    const selectAll = (allowed: readonly string[] | undefined): readonly string[] => {
        const tried = new Set<string>();
        for (;;) {
            const limits = { tried, begun: undefined, mayTry: true, regions: allowed };
            const state = selector.select(createRequest(), createRoute(), "service-1", limits);
            if (state === undefined) {
                return [...tried].toSorted();
            }
            tried.add(state.target.id);
        }
    };
    return { selector, selectAll };
};

test("a request whose regions are limited is sent to no target elsewhere, whatever was tried before", t => {
    const { selector, selectAll } = createSelector();
    t.deepEqual(selectAll(undefined), ["zone-a", "zone-b", "zone-c", "zone-d"]);
    t.deepEqual(selectAll(["south"]), ["zone-b"]);
    t.deepEqual(selectAll(["north", "own"]), ["zone-a", "zone-c", "zone-d"]);
    t.deepEqual(selectAll([]), []);
    t.false(selector.hasTarget("service-1", ["elsewhere"]));
    t.true(selector.hasTarget("service-1", ["own"]));
});

test("where the route and the team name regions, both have to allow the target's", t => {
    const cases = [
        [undefined, undefined, undefined],
        [["north"], undefined, ["north"]],
        [undefined, ["south"], ["south"]],
        [["north", "south"], ["south", "own"], ["south"]],
        [["north"], ["south"], []],
    ] as const;
    for (const [route, team, expected] of cases) {
        const table = new RouteTable(createDocument({
            routes: [createRoute({ allowedRegions: route })],
            teams: [{ ...TEAM, allowedRegions: team }],
        }));
        const admitted = admit(table, createRequest({ teamKey: "key-1" }), () => 0);
        t.deepEqual("reason" in admitted ? admitted.reason : admitted.allowedRegions, expected);
    }
});

test("the homes of a host are the regions of all its routes", t => {
    const table = new RouteTable(createDocument({
        routes: [
            createRoute({ allowedRegions: ["north"] }),
            createRoute({ pathPrefix: "/b/" }),
            createRoute({ host: "host-2", allowedRegions: ["south"] }),
        ],
    }));
    t.deepEqual(["host-1", "HOST-2", "host-3"].map(host => table.getHomes(host)), [["north"], ["south"], []]);
});

test("addresses of a region come first and are not left out of a sample, and the others follow", t => {
    const instances = Array.from({ length: 100 }, (_, at) => ({
        ...createInstanceInfo(`i-${at}`),
        region: at % 10 === 0 ? "south" : "north",
    }));
    const regions = sampleInstances(instances, { regions: new Set(["south"]) }).map(({ region }) => region);
    t.true(regions.length > 10);
    t.deepEqual([...new Set(regions.slice(0, 10))], ["south"]);
    t.deepEqual([...new Set(regions.slice(10))], ["north"]);
    t.is(sampleInstances(instances, { regions: new Set(["elsewhere"]) }).length, regions.length);
});
