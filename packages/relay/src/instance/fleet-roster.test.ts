import type { MembershipChange } from "@ospreyreel/peer";
import { MemoryNetwork } from "@ospreyreel/peer/fixtures";
import type { InstanceInfo } from "@ospreyreel/types";
import test from "ava";
import { fromEvent } from "most";
import { EventEmitter } from "node:events";
import { setImmediate as nextTurn } from "node:timers/promises";
import { FleetRoster } from "./fleet-roster.js";

const FLEET_SIZE = 20;

/** A roster with a hub whose members the test sets. */
const createFleet = () => {
    const network = new MemoryNetwork();
    const infos = Array.from(
        { length: FLEET_SIZE },
        (_, i) => ({ ...network.createHub(`i${i}`, "z").self(), state: "live" as const }),
    );
    const events = new EventEmitter();
    const members = new Map<string, InstanceInfo>(infos.map(info => [info.instance, info]));
    let nowMs = 0;
    const roster = new FleetRoster({
        hub: {
            peers: () => [...members.values()],
            changes: () => fromEvent<MembershipChange>("change", events),
        },
        nowMs: () => nowMs,
    });
    const change = async (kind: MembershipChange["kind"], changed: readonly InstanceInfo[]): Promise<void> => {
        for (const info of changed) {
            if (kind === "lost") {
                members.delete(info.instance);
            }
            else {
                members.set(info.instance, info);
            }
            events.emit("change", { kind, info });
        }
        // Changes are delivered in a later turn of the event loop.
        await nextTurn();
    };
    const advanceTime = (ms: number): void => {
        nowMs += ms;
    };
    return { roster, infos, change, advanceTime };
};

test("an instance that loses all others at the same time still lists and counts them", async t => {
    const { roster, infos, change } = createFleet();
    await change("lost", infos);
    t.is(roster.listAccepting().length, FLEET_SIZE);
    t.is(roster.size, FLEET_SIZE + 1);
});

test("lost instances are not listed while a sufficient share of the fleet is in contact", async t => {
    const { roster, infos, change } = createFleet();
    await change("lost", infos.slice(2));
    t.is(roster.listAccepting().length, 2);
    t.is(roster.size, 3);
});

test("an instance that left is not listed, not even by a partitioned instance", async t => {
    const { roster, infos, change } = createFleet();
    const [first, ...others] = infos;
    if (first === undefined) {
        throw new Error("the fleet is empty");
    }
    await change("updated", [{ ...first, state: "leaving" }]);
    await change("lost", [{ ...first, state: "leaving" }]);
    await change("lost", others);
    t.false(roster.listAccepting().some(info => info.instance === first.instance));
    t.is(roster.listAccepting().length, FLEET_SIZE - 1);
});

test("lost instances are removed after the retention time, and a rejoined instance is listed once", async t => {
    const { roster, infos, change, advanceTime } = createFleet();
    await change("lost", infos);
    advanceTime(19_000);
    t.is(roster.listAccepting().length, FLEET_SIZE);
    await change("joined", infos.slice(0, 1));
    t.is(roster.listAccepting().length, FLEET_SIZE);
    advanceTime(2_000);
    t.is(roster.listAccepting().length, 1);
});

// The last instance of a fleet told callers the addresses of instances that had been killed long before the others left.
test("instances that were lost long before others that stayed in contact are not listed by the last one", async t => {
    const { roster, infos, change, advanceTime } = createFleet();
    const killed = infos.slice(0, 3);
    const others = infos.slice(3);
    await change("lost", killed);
    advanceTime(6_000);
    const leaving = others.map(info => ({ ...info, state: "leaving" as const }));
    await change("updated", leaving);
    await change("lost", leaving);
    t.deepEqual(roster.listAccepting(), []);
    t.is(roster.size, 1);
});

test("an instance that was lost long before the last other one is not listed, in a small fleet too", async t => {
    const { roster, infos, change, advanceTime } = createFleet();
    await change("lost", infos.slice(2).map(info => ({ ...info, state: "leaving" })));
    const [first, second] = infos;
    if (first === undefined || second === undefined) {
        throw new Error("the fleet is empty");
    }
    await change("lost", [first]);
    advanceTime(6_000);
    await change("lost", [second]);
    t.deepEqual(roster.listAccepting(), [second]);
});

test("an instance that loses the others one after the other within a short time still lists all of them", async t => {
    const { roster, infos, change, advanceTime } = createFleet();
    for (const info of infos) {
        await change("lost", [info]);
        advanceTime(100);
    }
    t.is(roster.listAccepting().length, FLEET_SIZE);
});

test("an instance whose partition ends for a moment still lists all others", async t => {
    const { roster, infos, change, advanceTime } = createFleet();
    await change("lost", infos);
    advanceTime(6_000);
    await change("joined", infos.slice(0, 5));
    advanceTime(500);
    await change("lost", infos.slice(0, 5));
    t.is(roster.listAccepting().length, FLEET_SIZE);
});

test("an instance that is partitioned together with one other still lists the rest when it loses that one", async t => {
    const { roster, infos, change, advanceTime } = createFleet();
    await change("lost", infos.slice(1));
    advanceTime(6_000);
    await change("lost", infos.slice(0, 1));
    t.is(roster.listAccepting().length, FLEET_SIZE);
});
