import { formatFaults } from "../json/fault.js";
import { getDocumentDiff } from "./document-diff.js";
import type { OperatorsDocument } from "./document.js";
import { checkDocument } from "./parse-document.js";
import { checkSuccession } from "./succession.js";

/** Result of checking a text as the next document. */
export interface DocumentReview {
    /** Each as `line:column path: message`; empty where the text would be accepted. */
    readonly faults: readonly string[];
    /** Changes from the base, one line each; empty where the text has faults. */
    readonly diff: readonly string[];
}

/** Checks a text on its own and as the successor of a base document; never throws. */
export const reviewDocument = (base: OperatorsDocument | undefined, text: string): DocumentReview => {
    const checked = checkDocument(text);
    if (checked.document === undefined) {
        return { faults: formatFaults(checked.faults), diff: [] };
    }
    const faults = checkSuccession(base, checked.document).map(checked.locate);
    if (faults.length > 0) {
        return { faults: formatFaults(faults), diff: [] };
    }
    return { faults: [], diff: getDocumentDiff(base, checked.document).map(change => change.line) };
};
