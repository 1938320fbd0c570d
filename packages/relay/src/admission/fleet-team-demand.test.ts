import { type MemoryHub, MemoryNetwork } from "@ospreyreel/peer/fixtures";
import test from "ava";
import { setImmediate as settle } from "node:timers/promises";
import { MemoryLog } from "../fixtures/memory-log.js";
import { FleetTeamDemand } from "./fleet-team-demand.js";

const SERVICE = "service-1";

interface Member {
    readonly hub: MemoryHub;
    readonly demand: FleetTeamDemand;
}

/** Three instances with one virtual clock; `steps` passes time while each is offered requests and can start a part of them. */
const createFleet = () => {
    const network = new MemoryNetwork();
    const state = { nowMs: 1_000, reports: 0, reachableShare: 1 };
    const timers: { atMs: number; run: () => void; }[] = [];
    const hubs = ["a", "b", "c"].map(name => network.createHub(name));
    const members = hubs.map((hub): Member => {
        const demand = new FleetTeamDemand({
            hub,
            getReachableShare: () => state.reachableShare,
            log: new MemoryLog(),
            count: name => void (state.reports += name === "demand_reports" ? 1 : 0),
            nowMs: () => state.nowMs,
            setTimer: (run, ms) => {
                timers.push({ atMs: state.nowMs + ms, run });
                return () => undefined;
            },
        });
        demand.serve();
        return { hub, demand };
    });
    for (const hub of hubs) {
        hubs.filter(other => other !== hub).forEach(other => hub.sendChange({ kind: "joined", info: other.self() }));
    }
    const pass = async (steps: number, isShort: boolean): Promise<void> => {
        for (let step = 0; step < steps; step++) {
            state.nowMs += 100;
            for (const { demand } of members) {
                ["large", "large", "large", "large", "large", "large", "large", "small"]
                    .forEach(team => demand.recordOffered(SERVICE, team));
                demand.recordStarted(SERVICE);
                demand.recordStarted(SERVICE);
                if (isShort) {
                    demand.recordShort(SERVICE);
                }
            }
            timers.splice(0).forEach(timer => timer.atMs <= state.nowMs ? timer.run() : timers.push(timer));
            for (let round = 0; round < 6; round++) {
                await settle();
            }
        }
    };
    return { network, members, state, pass };
};

test("a team that asks for more than its part is limited at all instances, and only while the service is short of room", async t => {
    const { members, state, pass } = createFleet();
    await pass(20, false);
    t.is(state.reports, 0);
    await pass(30, true);
    for (const { demand } of members) {
        const { large = 1, small } = demand.getShares(SERVICE);
        // 2.2 of 8 requests fit: one of the small team and 1.2 of the 7 of the large one.
        t.true(large > 0.1 && large < 0.25);
        t.is(small, undefined);
        t.true(demand.acquire(SERVICE, "small", 2));
    }
    // One report a second of each instance.
    t.true(state.reports >= 6 && state.reports <= 12);
    const { reports } = state;
    await pass(40, false);
    t.true(state.reports <= reports + 3);
    t.deepEqual(members.map(({ demand }) => demand.getShares(SERVICE)), [{}, {}, {}]);
});

test("the urgent requests of a team use its share first", async t => {
    const { members, pass } = createFleet();
    await pass(30, true);
    const { demand } = members[0] ?? t.fail();
    const results = Array.from({ length: 100 }, (_, index) => index % 5 === 0 ? 0 : 2)
        .map(priority => ({ priority, isWithin: demand.acquire(SERVICE, "large", priority) }));
    const getShare = (priority: number): number => {
        const all = results.filter(result => result.priority === priority);
        return all.filter(({ isWithin }) => isWithin).length / all.length;
    };
    t.true(getShare(0) > getShare(2));
});

test("an instance that is cut off limits no team after 3 s", async t => {
    const { network, members, state, pass } = createFleet();
    await pass(30, true);
    members.forEach(({ hub }) => network.disconnect(hub));
    state.reachableShare = 1 / 3;
    await pass(31, true);
    t.deepEqual(members.map(({ demand }) => demand.getShares(SERVICE)), [{}, {}, {}]);
});

test("where the responsible instance does not respond no team is limited after 3 s", async t => {
    const { network, members, pass } = createFleet();
    await pass(30, true);
    members.forEach(({ hub }) => network.refuseLinks(hub));
    await pass(31, true);
    const limited = members.filter(({ demand }) => Object.keys(demand.getShares(SERVICE)).length > 0);
    // The responsible instance itself needs no link.
    t.is(limited.length, 1);
});
