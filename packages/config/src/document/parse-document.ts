import { OspreyError } from "@ospreyreel/errors";
import { describeFaultCount, type Fault, formatFaults, type LocatedFault } from "../json/fault.js";
import { type JsonText, parseJsonText } from "../json/json-text.js";
import { createShapeCheck } from "../json/shape.js";
import { documentSchema } from "./document-schema.js";
import type { OperatorsDocument } from "./document.js";
import { findReferenceFaults } from "./reference-faults.js";

/**
 * Largest document, in bytes of its JSON string. One transaction contains it twice, as the document and as its history
 * entry, and the key-value service accepts values of up to a megabyte.
 */
export const MAX_DOCUMENT_BYTES = 700_000;

const checkShape = createShapeCheck(documentSchema);

/** Result of checking a text as a document, with a function that locates further faults in it. */
export interface CheckedDocument {
    /** Undefined where there are faults. */
    readonly document: OperatorsDocument | undefined;
    readonly faults: readonly LocatedFault[];
    readonly locate: (fault: Fault) => LocatedFault;
}

const findFaults = (json: JsonText, shapeFaults: readonly Fault[]): readonly LocatedFault[] => [
    ...json.faults,
    ...[...shapeFaults, ...findReferenceFaults(json.value)].map(json.locate),
];

/** Checks the syntax, shape and references of a text; never throws. */
export const checkDocument = (text: string): CheckedDocument => {
    if (Buffer.byteLength(JSON.stringify(text)) > MAX_DOCUMENT_BYTES) {
        const fault = { path: [], message: `longer than ${MAX_DOCUMENT_BYTES} bytes`, line: 1, column: 1 };
        return { document: undefined, faults: [fault], locate: other => ({ ...other, line: 1, column: 1 }) };
    }
    const json = parseJsonText(text);
    if (json.value === undefined) {
        return { document: undefined, faults: json.faults, locate: json.locate };
    }
    const shape = checkShape(json.value);
    const faults = findFaults(json, shape.faults);
    return { document: faults.length === 0 ? shape.value : undefined, faults, locate: json.locate };
};

/** Creates the error for faults of a document, each as `line:column path: message`. */
export const createDocumentError = (faults: readonly LocatedFault[]): OspreyError => {
    const details = formatFaults(faults);
    return new OspreyError(`the document is not valid: ${describeFaultCount(details)}`, {
        result: "invalidDocument",
        details,
    });
};

/** Parses and validates a document; throws `invalidDocument`, which lists every fault. */
export const parseDocument = (text: string): OperatorsDocument => {
    const checked = checkDocument(text);
    if (checked.document === undefined) {
        throw createDocumentError(checked.faults);
    }
    return checked.document;
};
