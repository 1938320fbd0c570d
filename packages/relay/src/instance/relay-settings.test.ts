import { isValidSchema } from "@ospreyreel/config";
import test from "ava";
import { relaySettingsSchema } from "./relay-settings.js";

test("the schema of the settings conforms to JSON Schema", t => {
    t.true(isValidSchema(relaySettingsSchema));
});
