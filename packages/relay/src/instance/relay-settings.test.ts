import { isValidSchema } from "@ospreyreel/config";
import { OspreyError } from "@ospreyreel/errors";
import test from "ava";
import { parseRelaySettings, relaySettingsSchema } from "./relay-settings.js";

test("the schema of the settings conforms to JSON Schema", t => {
    t.true(isValidSchema(relaySettingsSchema));
});

const ADDRESS = "127.0.0.1:1";

const SETTINGS = {
    instance: "instance-1",
    availabilityZone: "zone-a",
    region: "region-a",
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

test("reports are off by default, and placement by reports that are not read is an error that names the entry", t => {
    const parse = (settings: object) => parseRelaySettings(JSON.stringify({ ...SETTINGS, ...settings }), "file");
    t.like(parse({}), { targetReports: { intervalMs: 0 }, placement: { usesReports: false } });
    const reports = { targetReports: { intervalMs: 500 } };
    t.true(parse({ ...reports, placement: { usesReports: true } }).placement.usesReports);
    const getDetails = (settings: object): string =>
        t.throws(() => parse(settings), { instanceOf: OspreyError })?.details.join(" ") ?? "";
    t.regex(getDetails({ placement: { usesReports: true } }), /placement.usesReports/);
    t.regex(getDetails({ targetReports: { intervalMs: 1 } }), /targetReports.intervalMs/);
});
