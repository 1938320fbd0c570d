import type { MembershipChange } from "@ospreyreel/peer";
import { MemoryNetwork } from "@ospreyreel/peer/fixtures";
import type { InstanceInfo } from "@ospreyreel/types";
import test from "ava";
import { fromEvent } from "most";
import { EventEmitter } from "node:events";
import { setImmediate as nextTurn } from "node:timers/promises";
import { FleetRoster } from "./fleet-roster.js";

const FLEET = 20;

/** A hub whose members a test sets. */
const createFleet = () => {
    const network = new MemoryNetwork();
    const infos = Array.from(
        { length: FLEET },
        (_, i) => ({ ...network.createHub(`i${i}`, "z").self(), state: "live" as const }),
    );
    const events = new EventEmitter();
    const members = new Map<string, InstanceInfo>(infos.map(info => [info.instance, info]));
    let now = 0;
    const roster = new FleetRoster({
        hub: {
            peers: () => [...members.values()],
            changes: () => fromEvent<MembershipChange>("change", events),
        },
        nowMs: () => now,
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
        // Changes are delivered in a later turn.
        await nextTurn();
    };
    const wait = (ms: number): void => {
        now += ms;
    };
    return { roster, infos, change, wait };
};

test("an instance that loses all others at once goes on naming them, and counts them", async t => {
    const { roster, infos, change } = createFleet();
    await change("lost", infos);
    t.is(roster.listTaking().length, FLEET);
    t.is(roster.size, FLEET + 1);
});

test("where a good part of the fleet is still in contact, those that are gone are named no more", async t => {
    const { roster, infos, change } = createFleet();
    await change("lost", infos.slice(2));
    t.is(roster.listTaking().length, 2);
    t.is(roster.size, 3);
});

test("an instance that left is not named, also by one that is cut off", async t => {
    const { roster, infos, change } = createFleet();
    const [first, ...others] = infos;
    if (first === undefined) {
        throw new Error("the fleet is empty");
    }
    await change("updated", [{ ...first, state: "leaving" }]);
    await change("lost", [{ ...first, state: "leaving" }]);
    await change("lost", others);
    t.false(roster.listTaking().some(info => info.instance === first.instance));
    t.is(roster.listTaking().length, FLEET - 1);
});

test("lost instances are forgotten after a while, and an instance that is back is named once", async t => {
    const { roster, infos, change, wait } = createFleet();
    await change("lost", infos);
    wait(19_000);
    t.is(roster.listTaking().length, FLEET);
    await change("joined", infos.slice(0, 1));
    t.is(roster.listTaking().length, FLEET);
    wait(2_000);
    t.is(roster.listTaking().length, 1);
});
