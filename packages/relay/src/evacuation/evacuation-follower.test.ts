import { type KvEntry, toRevision } from "@ospreyreel/kv";
import { MemoryNetwork } from "@ospreyreel/peer/fixtures";
import test from "ava";
import { setImmediate as settle, setTimeout as sleep } from "node:timers/promises";
import { MemoryLog } from "../fixtures/memory-log.js";
import { createStart } from "../fixtures/quarantine-fleet.js";
import { EvacuatedZones } from "./evacuated-zones.js";
import { EvacuationFollower } from "./evacuation-follower.js";

const PREFIX = "op/evacuate/";

const createEntry = (zone: string, era = 1, revision = 5): KvEntry => ({
    key: `${PREFIX}${zone}`,
    value: Buffer.alloc(0),
    modRevision: toRevision(era, revision),
});

/** One instance; its KV service is available and in its first era at first. */
const createFollower = (network = new MemoryNetwork(), instance = "instance-1") => {
    const hub = network.createHub(instance);
    const log = new MemoryLog();
    const clock = { nowMs: 0 };
    const health = { isAvailable: true };
    const history = { era: 1 };
    const zones = new EvacuatedZones({ log, count: () => undefined, nowMs: () => clock.nowMs });
    const codec = {
        getEvacuatedZone: (key: string) => key.startsWith(PREFIX) ? key.slice(PREFIX.length) : undefined,
    };
    const follower = new EvacuationFollower({ zones, codec, hub, health, history, log });
    follower.start();
    const blocks = (zone: string): boolean => zones.blocks({ ...createStart("target-1", 1), availabilityZone: zone });
    return { hub, log, clock, health, history, zones, follower, blocks };
};

test("an instance that has not read the evacuations sends nothing, and knows them after its first read", t => {
    const { zones, follower, blocks } = createFollower();
    t.false(zones.isSynced);
    t.true(blocks("zone-a"));
    follower.handle({ kind: "resync", entries: [createEntry("zone-b"), { ...createEntry("x"), key: "op/config" }] });
    t.true(zones.isSynced);
    t.deepEqual([blocks("zone-a"), blocks("zone-b")], [false, true]);
});

test("an evacuation holds from its entry to its removal, also where the removal was missed", t => {
    const { follower, blocks, log } = createFollower();
    follower.handle({ kind: "resync", entries: [] });
    follower.handle({ kind: "put", entry: createEntry("zone-a") });
    t.true(blocks("zone-a"));
    follower.handle({ kind: "delete", key: `${PREFIX}zone-a`, revision: toRevision(1, 6) });
    t.false(blocks("zone-a"));
    follower.handle({ kind: "put", entry: createEntry("zone-a") });
    follower.handle({ kind: "resync", entries: [] });
    t.false(blocks("zone-a"));
    t.is(log.lines.filter(({ event }) => event === "zone evacuation ended").length, 2);
});

test("an evacuation that a restore of the KV service loses holds until it is written again or clearly not wanted", t => {
    for (const isKnownByWatch of [true, false]) {
        const { follower, blocks, clock, history } = createFollower();
        follower.handle({ kind: "resync", entries: [createEntry("zone-a")] });
        if (isKnownByWatch) {
            // A source of the watch reports the loss as a removal in the new era.
            follower.handle({ kind: "delete", key: `${PREFIX}zone-a`, revision: toRevision(2, 1) });
        }
        else {
            history.era = 2;
            follower.handle({ kind: "resync", entries: [] });
        }
        t.true(blocks("zone-a"));
        clock.nowMs += 6_000;
        t.true(blocks("zone-a"));
        clock.nowMs += 6_000;
        t.false(blocks("zone-a"));
        follower.handle({ kind: "put", entry: createEntry("zone-a", 2) });
        t.true(blocks("zone-a"));
        history.era = 2;
        follower.handle({ kind: "delete", key: `${PREFIX}zone-a`, revision: toRevision(2, 9) });
        t.false(blocks("zone-a"));
    }
});

test("an instance that does not reach the KV service learns an evacuation from a peer, and forgets it once the peers do", async t => {
    const network = new MemoryNetwork();
    const informed = createFollower(network);
    const cut = createFollower(network, "instance-2");
    [informed, cut].forEach(({ follower }) => follower.handle({ kind: "resync", entries: [] }));
    cut.health.isAvailable = false;
    informed.follower.handle({ kind: "put", entry: createEntry("zone-a") });
    t.false(cut.blocks("zone-a"));
    // Questions are asked at an interval of half a second.
    await sleep(1_200);
    t.true(cut.blocks("zone-a"));
    informed.follower.handle({ kind: "delete", key: `${PREFIX}zone-a`, revision: toRevision(1, 9) });
    cut.clock.nowMs += 4_000;
    t.true(cut.blocks("zone-a"));
    cut.clock.nowMs += 2_000;
    t.false(cut.blocks("zone-a"));
});

test("an instance that is in contact again asks the peer that it meets at once", async t => {
    const network = new MemoryNetwork();
    const informed = createFollower(network);
    informed.follower.handle({ kind: "resync", entries: [createEntry("zone-a")] });
    const cut = createFollower(network, "instance-2");
    cut.follower.handle({ kind: "resync", entries: [] });
    cut.health.isAvailable = false;
    // The stream of changes is subscribed to in the next turn.
    await settle();
    cut.hub.sendChange({ kind: "joined", info: informed.hub.self() });
    await sleep(50);
    t.true(cut.blocks("zone-a"));
});
