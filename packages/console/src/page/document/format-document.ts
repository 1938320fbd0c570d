const INDENT = 4;

/** Below the fleet's size limit, with room for the JSON escapes that count towards it. */
const MAX_INDENTED_CHARS = 500_000;

/** Formats a document as JSON text: indented, or without white space if indentation could exceed the size limit. */
export const formatDocument = (document: unknown): string => {
    const indented = `${JSON.stringify(document, undefined, INDENT)}\n`;
    return indented.length <= MAX_INDENTED_CHARS ? indented : `${JSON.stringify(document)}\n`;
};
