import { hasResult } from "@ospreyreel/errors";
import test from "ava";
import fc from "fast-check";
import { getDocumentDiff } from "../document/document-diff.js";
import { parseDocument } from "../document/parse-document.js";
import { checkSuccession } from "../document/succession.js";
import { createBrokenTexts } from "../fixtures/broken-texts.js";
import { createText } from "../fixtures/documents.js";
import { parseSettings } from "../settings/parse-settings.js";

const RUNS = { seed: 20, numRuns: 3000 };

const SETTINGS = JSON.stringify({
    instance: "entry-1",
    availabilityZone: "zone-a",
    region: "region-a",
    caller: { host: "127.0.0.1", port: 8080 },
    operator: { host: "127.0.0.1", port: 8081, token: "operator-token" },
    peer: { host: "127.0.0.1", port: 8082, sharedKey: "shared-key" },
    kv: { endpoints: ["http://127.0.0.1:2379"], deadlineMs: 500 },
    instanceList: { url: "http://127.0.0.1:2400/" },
    fleet: { heartbeatMs: 100 },
});

/** Whether a parser accepts a text; rethrows errors with another result, or without details. */
const accepts = (parse: () => unknown, result: Parameters<typeof hasResult>[1]): boolean => {
    try {
        parse();
        return true;
    }
    catch (err) {
        if (!hasResult(err, result) || err.details.length === 0) {
            throw err;
        }
        return false;
    }
};

test("any text parses as a document or is rejected with faults", t => {
    let accepted = 0;
    fc.assert(
        fc.property(createBrokenTexts(createText()), text => {
            if (accepts(() => parseDocument(text), "invalidDocument")) {
                accepted += 1;
                const document = parseDocument(text);
                return getDocumentDiff(document, document).length + checkSuccession(document, document).length === 0;
            }
            return true;
        }),
        RUNS,
    );
    t.true(accepted > 0, "no text was accepted, so the mutations are too wild");
});

test("any text parses as settings or is rejected with faults", t => {
    let accepted = 0;
    fc.assert(
        fc.property(createBrokenTexts(SETTINGS), text => {
            accepted += accepts(() => parseSettings(text, "fuzz.jsonc"), "invalidSettings") ? 1 : 0;
        }),
        RUNS,
    );
    t.true(accepted > 0, "no text was accepted, so the mutations are too wild");
});
