import { isValidSchema } from "@ospreyreel/config";
import { OspreyError } from "@ospreyreel/errors";
import test, { type ExecutionContext } from "ava";
import { parseRelaySettings, type RelaySettings, relaySettingsSchema } from "./relay-settings.js";

const ADDRESS = "127.0.0.1:1";

const USUAL = {
    instance: "instance-1",
    availabilityZone: "zone-a",
    region: "north",
    callers: ADDRESS,
    readiness: ADDRESS,
    directory: ADDRESS,
    peer: ADDRESS,
    metrics: ADDRESS,
    sharedKey: "shared-key",
    seeds: [],
    kv: { address: ADDRESS },
    retries: { ratio: 0.2, windowS: 10, slack: 5 },
    stopWithinS: 8,
    addressTtlS: 1,
};

type Changes = Readonly<Record<string, unknown>>;

/** Parses the usual settings with changes. */
const parse = (changes: Changes): RelaySettings => parseRelaySettings(JSON.stringify({ ...USUAL, ...changes }), "file");

/** What is wrong with the usual settings after changes. */
const getFaults = (t: ExecutionContext, changes: Changes): readonly string[] =>
    t.throws(() => parse(changes), { instanceOf: OspreyError })?.details ?? [];

test("the schema of the settings conforms to JSON Schema", t => {
    t.true(isValidSchema(relaySettingsSchema));
});

// Guards against second sends without an operator's decision, and against bounds beyond what the capacity check allows for.
test("second sends are off by default, and their bounds are checked by name", t => {
    t.deepEqual(parse({}).secondSends, { share: 0, percentile: 95 });
    t.deepEqual(parse({ secondSends: { share: 0.2, percentile: 99 } }).secondSends, { share: 0.2, percentile: 99 });
    t.regex(getFaults(t, { secondSends: { share: 0.21 } }).join(), /share/);
    t.regex(getFaults(t, { secondSends: { percentile: 100 } }).join(), /percentile/);
    t.regex(getFaults(t, { secondSends: { share: "0.1" } }).join(), /share/);
});

test("the regions of zones are optional, and a zone with a wrong one is named in the error", t => {
    t.deepEqual(parse({}).zones, {});
    const zones = { "zone-a": "north", "zone-b": { region: "south", instances: 4 }, "zone-c": {} };
    t.deepEqual(parse({ zones }).zones, zones);
    for (const wrong of [{ "zone-b": 4 }, { "zone-b": { region: "" } }, { "zone-b": "" }]) {
        const faults = getFaults(t, { zones: wrong });
        t.true(faults.length > 0 && faults.every(fault => fault.includes(`$.zones["zone-b"]`)));
    }
});

test("reports are off by default, and placement by reports that are not read is an error that names the entry", t => {
    t.like(parse({}), { targetReports: { intervalMs: 0 }, placement: { usesReports: false } });
    const reports = { targetReports: { intervalMs: 500 } };
    t.true(parse({ ...reports, placement: { usesReports: true } }).placement.usesReports);
    t.regex(getFaults(t, { placement: { usesReports: true } }).join(), /placement.usesReports/);
    t.regex(getFaults(t, { targetReports: { intervalMs: 1 } }).join(), /targetReports.intervalMs/);
});
