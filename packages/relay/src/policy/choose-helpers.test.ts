import type { InstanceInfo } from "@ospreyreel/types";
import test from "ava";
import { chooseHelpers } from "./choose-helpers.js";

const ADDRESS = { host: "127.0.0.1", port: 1 };

const createInfo = (instance: string, changed: Partial<InstanceInfo> = {}): InstanceInfo => ({
    instance,
    incarnation: instance,
    availabilityZone: "zone-a",
    region: "region-a",
    caller: ADDRESS,
    peer: ADDRESS,
    state: "live",
    configRevision: 5,
    cores: 0.3,
    ...changed,
});

const choose = (self: InstanceInfo, peers: readonly InstanceInfo[]): readonly string[] =>
    chooseHelpers({ self, peers, minVersion: 5, random: () => 0.5 }).map(({ instance }) => instance);

test("large instances are asked first, then those of the own availability zone", t => {
    const peers = [
        createInfo("far", { availabilityZone: "zone-b" }),
        createInfo("near"),
        createInfo("large-far", { cores: 1.35, availabilityZone: "zone-b" }),
        createInfo("large-near", { cores: 1.35 }),
    ];
    t.deepEqual(choose(createInfo("self"), peers), ["large-near", "large-far", "near", "far"]);
});

test("no instance is asked that leaves, is smaller, or has an older desired state", t => {
    const peers = [
        createInfo("leaving", { state: "leaving" }),
        createInfo("small", { cores: 0.1 }),
        createInfo("old", { configRevision: 4 }),
        createInfo("fit", { configRevision: 6 }),
    ];
    t.deepEqual(choose(createInfo("self"), peers), ["fit"]);
});
