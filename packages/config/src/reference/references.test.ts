import test from "ava";
import { readFile } from "node:fs/promises";
import { DOCS_URL, renderReferences } from "./references.js";

for (const [name, text] of renderReferences()) {
    test(`docs/${name} matches the output of npm run docs`, async t => {
        t.is(await readFile(new URL(name, DOCS_URL), "utf8"), text);
    });
}
