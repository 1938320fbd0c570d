import test from "ava";
import { setImmediate as settle } from "node:timers/promises";
import { LoadFleet } from "../fixtures/load-fleet.js";
import { createRequest } from "../fixtures/plain-protocol.js";

const getAll = ({ members, targets }: LoadFleet) =>
    members.map(({ sharing }) => targets.map(target => sharing.loads.get(target)));

test("80 instances read each of 98 targets once, and all know the load of all", async t => {
    const fleet = new LoadFleet(80, 98);
    await fleet.readAll();
    await settle();
    t.is(fleet.reads.length, 98);
    t.is(new Set(fleet.reads).size, 98);
    const readers = fleet.members.filter(({ sharing }) => sharing.view.ownTargets.length > 0);
    t.is(readers.length, 9);
    t.true(getAll(fleet).flat().every(load => load?.weight === 1));
    t.is(fleet.members[3]?.sharing.loads.get(fleet.targets[5] ?? t.fail())?.running, 5);
});

// Guards against reads that targets of plain services reject, and count as requests.
test("targets of a service without reports are not read", async t => {
    const fleet = new LoadFleet(12, 30);
    fleet.targets.forEach(({ service }) => fleet.plainServices.add(service));
    await fleet.readAll();
    t.deepEqual(fleet.reads, []);
});

test("targets of a reader that is lost are read by others", async t => {
    const fleet = new LoadFleet(12, 30);
    const reader = fleet.members.find(({ sharing }) => sharing.view.ownTargets.length > 0);
    const lost = reader?.sharing.view.ownTargets ?? [];
    if (reader !== undefined) {
        fleet.network.disconnect(reader.hub);
    }
    await fleet.readAll();
    t.deepEqual(lost.filter(id => !fleet.reads.includes(id)), []);
    // An instance that is cut off from all others reads nothing, or each of them would read all targets.
    t.is(fleet.reads.length, 30);
});

test("an old report loses its weight, and one of another start does not count", async t => {
    const fleet = new LoadFleet(4, 3);
    const [member] = fleet.members;
    const [target] = fleet.targets;
    if (member === undefined || target === undefined) {
        t.fail("no fleet");
        return;
    }
    await fleet.readAll();
    const weights = [0, 900, 1_400, 2_000, 2_900].map(ageMs => {
        fleet.nowMs = 10_000 + ageMs - 100;
        return member.sharing.loads.get(target)?.weight ?? 0;
    });
    t.deepEqual(weights.slice(0, 2), [1, 1]);
    t.true(weights[2] !== undefined && weights[2] < 1 && weights[2] > (weights[3] ?? 1) && (weights[3] ?? 0) > 0);
    fleet.nowMs = 12_901;
    t.is(member.sharing.loads.get(target), undefined);
    fleet.nowMs = 10_000;
    member.directory.put({ ...target, startedAtMs: 2 });
    t.is(member.sharing.loads.get({ ...target, startedAtMs: 2 }), undefined);
    t.is(member.sharing.view.reports, 2);
});

test("own sends since a report are added, and those that ended since are taken away", async t => {
    const fleet = new LoadFleet(2, 8);
    const [member] = fleet.members;
    const target = fleet.targets[4];
    if (member === undefined || target === undefined) {
        t.fail("no fleet");
        return;
    }
    const { sharing } = member;
    const req = createRequest({ generation: { promptTokens: 900, maxOutputTokens: 100, parts: [] } });
    const early = sharing.sends.begin(target, req);
    fleet.nowMs += 1_000;
    await fleet.readAll();
    fleet.nowMs += 10;
    t.like(sharing.loads.get(target), { running: 4, usedTokens: 4_096 });
    const late = sharing.sends.begin(target, req);
    t.like(sharing.loads.get(target), { running: 5, usedTokens: 5_096 });
    early.end();
    t.like(sharing.loads.get(target), { running: 4, usedTokens: 4_096 });
    late.end();
    t.like(sharing.loads.get(target), { running: 3, usedTokens: 3_096 });
    Array.from({ length: 9 }, () => sharing.sends.begin(target, req));
    t.like(sharing.loads.get(target), { running: 8, queued: 4 });
});

test("a target whose load grows is expected to grow on until the next report", async t => {
    const fleet = new LoadFleet(2, 1);
    const [target] = fleet.targets;
    for (const running of [0, 2, 4, 6]) {
        const report = { running, queued: 0, usedTokens: 0, capacityTokens: 0 };
        fleet.outcomes.set("target-0", { kind: "read", report });
        await fleet.readAll();
        fleet.nowMs += 500;
    }
    const load = target === undefined ? undefined : fleet.members[1]?.sharing.loads.get(target);
    t.true((load?.running ?? 0) + (load?.queued ?? 0) > 7, JSON.stringify(load));
});

test("a target without reports is left alone for some seconds, and is said to be full after a rejection only", async t => {
    const fleet = new LoadFleet(2, 1);
    const [target] = fleet.targets;
    const [member] = fleet.members;
    fleet.outcomes.set("target-0", { kind: "none" });
    await fleet.readAll();
    fleet.nowMs += 4_000;
    await fleet.readAll();
    t.is(fleet.reads.length, 1);
    if (target === undefined || member === undefined) {
        t.fail("no fleet");
        return;
    }
    t.is(member.sharing.loads.get(target), undefined);
    member.sharing.sends.begin(target, createRequest()).recordOutcome({ kind: "not_run", reason: "full" });
    t.like(member.sharing.loads.get(target), { running: 8, weight: 1 });
    fleet.nowMs += 600;
    t.is(member.sharing.loads.get(target), undefined);
});
