import { documentSchema } from "../document/document-schema.js";
import { settingsSchema } from "../settings/settings-schema.js";
import { renderReference } from "./render-reference.js";

/** Folder of the generated pages. */
export const DOCS_URL = new URL("../../../../docs/", import.meta.url);

/** Renders the pages from the schemas, by file name. */
export const renderReferences = (): ReadonlyMap<string, string> =>
    new Map([
        ["document-reference.md", renderReference("Keys of the operators' document", documentSchema)],
        ["settings-reference.md", renderReference("Keys of the settings", settingsSchema)],
    ]);
