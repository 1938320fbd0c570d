import { createShapeCheck, isValidSchema } from "@ospreyreel/config";
import { OspreyError } from "@ospreyreel/errors";
import { Type } from "@sinclair/typebox";
import test from "ava";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { readRelaySettings, type RelaySettings, relaySettingsSchema } from "./relay-settings.js";

const USUAL = {
    instance: "instance-1",
    availabilityZone: "zone-a",
    region: "north",
    callers: "127.0.0.1:1",
    readiness: "127.0.0.1:2",
    directory: "127.0.0.1:3",
    peer: "127.0.0.1:4",
    metrics: "127.0.0.1:5",
    sharedKey: "key of the tests",
    seeds: [],
    kv: { address: "127.0.0.1:6" },
    retries: { ratio: 0.2, windowS: 10, slack: 5 },
    stopWithinS: 8,
    addressTtlS: 1,
};

/** Reads the usual settings with changes; throws what reading them throws. */
const read = async (changes: Readonly<Record<string, unknown>>): Promise<RelaySettings> => {
    const folder = await mkdtemp(join(tmpdir(), "ospreyreel-settings-"));
    const file = join(folder, "settings.jsonc");
    try {
        await writeFile(file, JSON.stringify({ ...USUAL, ...changes }));
        return await readRelaySettings(file);
    }
    finally {
        await rm(folder, { recursive: true });
    }
};

test("the schema of the settings conforms to JSON Schema", t => {
    t.true(isValidSchema(relaySettingsSchema));
});

// Guards against second sends without an operator's decision, and against bounds beyond what the capacity check allows for.
test("second sends are off by default, and their bounds are checked by name", t => {
    const check = createShapeCheck(Type.Pick(relaySettingsSchema, ["secondSends"]));
    t.deepEqual(check({}).value?.secondSends, { share: 0, percentile: 95 });
    t.deepEqual(check({ secondSends: { share: 0.2, percentile: 99 } }).faults, []);
    t.regex(JSON.stringify(check({ secondSends: { share: 0.21 } }).faults), /share/);
    t.regex(JSON.stringify(check({ secondSends: { percentile: 100 } }).faults), /percentile/);
    t.regex(JSON.stringify(check({ secondSends: { share: "0.1" } }).faults), /share/);
});

test("the regions of zones are optional, and a zone with a wrong one is named in the error", async t => {
    t.deepEqual((await read({})).zones, {});
    const zones = { "zone-a": "north", "zone-b": { region: "south", instances: 4 }, "zone-c": {} };
    t.deepEqual((await read({ zones })).zones, zones);
    for (const wrong of [{ "zone-b": 4 }, { "zone-b": { region: "" } }, { "zone-b": "" }]) {
        const err = await t.throwsAsync<OspreyError>(read({ zones: wrong }), { instanceOf: OspreyError });
        t.true(err.details?.every(detail => detail.includes(`$.zones["zone-b"]`)));
    }
});
