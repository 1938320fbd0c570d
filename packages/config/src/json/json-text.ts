import {
    createScanner,
    findNodeAtLocation,
    getNodeValue,
    type Node,
    type ParseError,
    parseTree,
    printParseErrorCode,
} from "jsonc-parser";
import type { Fault, JsonPath, LocatedFault } from "./fault.js";
import { LineIndex } from "./line-index.js";

const MAX_DEPTH = 32;

/** A parsed text of JSON with comments, with the positions of its values. */
export interface JsonText {
    /** The value; undefined where the text is not JSON. */
    readonly value: unknown;
    /** Syntax faults, repeated keys and excessive depth. */
    readonly faults: readonly LocatedFault[];
    /** Finds the position of a fault; a path that is not in the text has the position of its nearest parent. */
    readonly locate: (fault: Fault) => LocatedFault;
}

/** Finds the offset where nesting exceeds the limit, without recursion; runs before the recursive parser. */
const findExcessiveDepth = (text: string): number | undefined => {
    const scanner = createScanner(text, true);
    let depth = 0;
    while (scanner.getPosition() < text.length) {
        scanner.scan();
        const firstCharacter = text[scanner.getTokenOffset()];
        if (firstCharacter === "{" || firstCharacter === "[") {
            depth += 1;
        }
        else if (firstCharacter === "}" || firstCharacter === "]") {
            depth -= 1;
        }
        if (depth > MAX_DEPTH) {
            return scanner.getTokenOffset();
        }
    }
    return undefined;
};

interface KeyFault extends Fault {
    readonly offset: number;
}

const findKeyFaults = (node: Node, path: JsonPath): readonly KeyFault[] => {
    const children = node.children ?? [];
    if (node.type === "array") {
        return children.flatMap((child, index) => findKeyFaults(child, [...path, index]));
    }
    if (node.type !== "object") {
        return [];
    }
    const seen = new Set<string>();
    return children.flatMap(property => {
        const [keyNode, valueNode] = property.children ?? [];
        const key = String(keyNode?.value);
        const keyPath = [...path, key];
        const faults: KeyFault[] = [];
        if (seen.has(key)) {
            faults.push({ path: keyPath, message: "the key is repeated", offset: property.offset });
        }
        if (key === "__proto__") {
            faults.push({ path: keyPath, message: "the key is not allowed", offset: property.offset });
        }
        seen.add(key);
        return valueNode === undefined ? faults : [...faults, ...findKeyFaults(valueNode, keyPath)];
    });
};

const findNearestNode = (root: Node, path: JsonPath): Node => {
    for (let length = path.length; length > 0; length--) {
        const node = findNodeAtLocation(root, path.slice(0, length));
        if (node !== undefined) {
            // A member has the position of its key.
            return node.parent?.type === "property" ? node.parent : node;
        }
    }
    return root;
};

const describeSyntaxError = (err: ParseError): string =>
    printParseErrorCode(err.error).replace(/([a-z])([A-Z])/g, "$1 $2").toLowerCase();

/** Parses JSON with comments; never throws. */
export const parseJsonText = (text: string): JsonText => {
    const lines = new LineIndex(text);
    const excessOffset = findExcessiveDepth(text);
    if (excessOffset !== undefined) {
        const fault = {
            path: [],
            message: `nested deeper than ${MAX_DEPTH} levels`,
            ...lines.getPosition(excessOffset),
        };
        return { value: undefined, faults: [fault], locate: other => ({ ...other, line: 1, column: 1 }) };
    }
    const errors: ParseError[] = [];
    const root = parseTree(text, errors, { allowTrailingComma: true });
    const syntaxFaults = errors.map(err => ({
        path: [],
        message: describeSyntaxError(err),
        ...lines.getPosition(err.offset),
    }));
    if (root === undefined) {
        const empty = { path: [], message: "the text contains no value", line: 1, column: 1 };
        return {
            value: undefined,
            faults: syntaxFaults.length > 0 ? syntaxFaults : [empty],
            locate: fault => ({ ...fault, line: 1, column: 1 }),
        };
    }
    const keyFaults = findKeyFaults(root, []).map(({ offset, ...fault }) => ({
        ...fault,
        ...lines.getPosition(offset),
    }));
    return {
        // The clone gives objects the usual prototype.
        value: structuredClone(getNodeValue(root)) as unknown,
        faults: [...syntaxFaults, ...keyFaults],
        locate: fault => ({ ...fault, ...lines.getPosition(findNearestNode(root, fault.path).offset) }),
    };
};
