import { createShapeCheck, isValidSchema } from "@ospreyreel/config";
import test from "ava";
import { relaySettingsSchema } from "./relay-settings.js";

const SETTINGS = {
    instance: "instance-1",
    availabilityZone: "zone-a",
    region: "region-1",
    callers: "127.0.0.1:1",
    readiness: "127.0.0.1:2",
    directory: "127.0.0.1:3",
    peer: "127.0.0.1:4",
    metrics: "127.0.0.1:5",
    sharedKey: "shared-key",
    seeds: [],
    kv: { address: "127.0.0.1:6" },
    retries: { ratio: 0.2, windowS: 10, slack: 50 },
    stopWithinS: 8,
    addressTtlS: 1,
};

test("the schema of the settings conforms to JSON Schema", t => {
    t.true(isValidSchema(relaySettingsSchema));
});

// Guards against second sends without an operator's decision, and against bounds beyond what the capacity check allows for.
test("second sends are off by default, and their bounds are checked by name", t => {
    const check = createShapeCheck(relaySettingsSchema);
    t.deepEqual(check(structuredClone(SETTINGS)).value?.secondSends, { share: 0, percentile: 95 });
    const findPaths = (secondSends: unknown): readonly string[] =>
        check({ ...structuredClone(SETTINGS), secondSends }).faults.map(fault => JSON.stringify(fault));
    t.deepEqual(findPaths({ share: 0.2, percentile: 99 }), []);
    t.regex(findPaths({ share: 0.21 }).join(" "), /share/);
    t.regex(findPaths({ percentile: 100 }).join(" "), /percentile/);
    t.regex(findPaths({ share: "0.1" }).join(" "), /share/);
});
