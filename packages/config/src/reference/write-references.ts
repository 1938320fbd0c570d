import { writeFile } from "node:fs/promises";
import { DOCS_URL, renderReferences } from "./references.js";

for (const [name, text] of renderReferences()) {
    await writeFile(new URL(name, DOCS_URL), text);
}
