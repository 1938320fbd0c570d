import type { InstanceInfo } from "@ospreyreel/types";
import test from "ava";
import { createInfo, startHub, waitUntil, waitUntilJoined } from "./hub-fixtures.js";
import { ZoneLinkView } from "./link-view.js";

const FLEET = 8;

/** Returns an instance of a fleet with two zones in one region and one in another. */
const memberOf = (i: number): Partial<InstanceInfo> => ({
    instance: `r-${i}`,
    availabilityZone: ["ahd-hall", "vad-hall", "austin-a"][i % 3] ?? "",
    region: i % 3 === 2 ? "tx-central" : "guj-west",
});

test("the number of links depends on zones and regions, not on instances", t => {
    const view = new ZoneLinkView({ zoneLinks: 3, nearZoneLinks: 2, regionLinks: 1 });
    const members = [...Array(300).keys()].map(i => createInfo(memberOf(i + 1)));
    const selected = view.select(createInfo(memberOf(0)), members);
    const zones = selected.map(info => info.availabilityZone).sort();
    t.deepEqual(zones, ["ahd-hall", "ahd-hall", "ahd-hall", "austin-a", "vad-hall", "vad-hall"]);
});

test("in a fleet larger than the full mesh all instances reach each other and see a leaving state", async t => {
    const view = new ZoneLinkView({ zoneLinks: 1, nearZoneLinks: 1, regionLinks: 1 });
    const opts = { fullMeshUpTo: 3, view, idleLinkMs: 50 };
    const hubs = await Promise.all([...Array(FLEET).keys()].map(i => startHub(t, memberOf(i), opts)));
    hubs.forEach(hub => hub.handle("ledger.holdings", () => Promise.resolve({ available: 1 })));
    const addresses = hubs.map(hub => hub.self().peer);
    hubs.forEach(hub => hub.setPeerAddresses(addresses));
    await waitUntilJoined(...hubs);
    const [first, ...others] = hubs;
    await waitUntil(() => hubs.some(hub => hub.linkCount < FLEET - 1));
    for (const other of others) {
        const req = { budget: "x" };
        t.deepEqual(await first?.request(other.self().incarnation, "ledger.holdings", req, 10_000), { available: 1 });
    }
    first?.updateSelf({ state: "leaving" });
    await waitUntil(() => others.every(hub => hub.peers().some(info => info.state === "leaving")));
});
