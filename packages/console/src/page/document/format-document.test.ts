import { MAX_DOCUMENT_BYTES } from "@ospreyreel/config";
import test from "ava";
import { formatDocument } from "./format-document.js";

test("a document is indented unless that would exceed the size limit", t => {
    t.is(formatDocument({ teams: [] }), "{\n    \"teams\": []\n}\n");
    const name = "n".repeat(40);
    const large = { teams: Array.from({ length: 5000 }, () => ({ name, budget: name })) };
    t.true(JSON.stringify(JSON.stringify(large, undefined, 4)).length > MAX_DOCUMENT_BYTES);
    t.is(formatDocument(large), `${JSON.stringify(large)}\n`);
    t.true(JSON.stringify(formatDocument(large)).length < MAX_DOCUMENT_BYTES);
});
