import { MemoryNetwork } from "@ospreyreel/peer/fixtures";
import test from "ava";
import { Readable } from "node:stream";
import { MemoryLog } from "../fixtures/memory-log.js";
import { createStart } from "../fixtures/quarantine-fleet.js";
import { TargetDirectory } from "../targets/target-directory.js";
import type { TargetNotes, TargetOutcome } from "../targets/target-port.js";
import { FleetRoom } from "./fleet-room.js";

const answer = (notes: TargetNotes): TargetOutcome => ({
    kind: "answer",
    head: { status: 200, headers: [], isFramed: true },
    body: Readable.from([]),
    notes,
});

const start = (count: number) => {
    const network = new MemoryNetwork();
    const clock = { nowMs: 1_000, reachableShare: 1 };
    return [...Array(count).keys()].map(index => {
        const hub = network.createHub(`instance-${index}`);
        const directory = new TargetDirectory();
        directory.put({ ...createStart("target-1", 1), slots: 10 });
        const room = new FleetRoom({
            hub,
            directory,
            getReachableShare: () => clock.reachableShare,
            log: new MemoryLog(),
            count: () => undefined,
            nowMs: () => clock.nowMs,
        });
        room.serve();
        const [state] = directory.list();
        if (state === undefined) {
            throw new Error("no target");
        }
        const acquire = async (sends: number): Promise<number> => {
            const granted = await Promise.all(Array.from({ length: sends }, () => room.acquire(state)));
            return granted.filter(Boolean).length;
        };
        return { clock, network, hub, room, state, acquire };
    });
};

test("sends that are acquired at the same time at all instances stay within a brittle target's room", async t => {
    const members = start(4);
    members.forEach(({ room, state }) => room.recordOutcome(state, answer({ rejectionsPerS: 2 }), 0));
    const granted = await Promise.all(members.map(({ acquire }) => acquire(6)));
    t.is(granted.reduce((sum, count) => sum + count, 0), 9);
});

test("targets that are not brittle are sent to without asking", async t => {
    const [member] = start(1);
    t.is(await member?.acquire(30), 30);
});

test("a service is brittle until a later request is answered without saying so", async t => {
    const [member] = start(1);
    if (member === undefined) {
        t.fail("no instance");
        return;
    }
    const { room, state, clock, acquire } = member;
    room.recordOutcome(state, answer({ rejectionsPerS: 2 }), clock.nowMs - 10);
    room.recordOutcome(state, answer({}), clock.nowMs - 5);
    t.is(await acquire(30), 9);
    clock.nowMs += 10;
    room.recordOutcome(state, { kind: "not_run", reason: "full" }, clock.nowMs);
    t.deepEqual(room.brittleServices, ["service-1"]);
    room.recordOutcome(state, answer({}), clock.nowMs);
    t.deepEqual(room.brittleServices, []);
    t.is(await acquire(30), 30);
});

test("an instance that does not reach the keeper of the room uses its share", async t => {
    const members = start(3);
    members.forEach(({ room, state }) => room.recordOutcome(state, answer({ rejectionsPerS: 2 }), 0));
    members.forEach(({ network, hub, clock }) => {
        network.disconnect(hub);
        clock.reachableShare = 1 / 3;
    });
    const granted = await Promise.all(members.map(({ acquire }) => acquire(12)));
    t.true(granted.every(count => count >= 1 && count <= 3), granted.join(" "));
});
