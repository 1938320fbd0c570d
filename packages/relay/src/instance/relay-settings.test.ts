import { createShapeCheck, isValidSchema } from "@ospreyreel/config";
import { Type } from "@sinclair/typebox";
import test from "ava";
import { relaySettingsSchema } from "./relay-settings.js";

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
