import type { ValuePath } from "./json-value.js";

/** One fault reported by the fleet, with the path of the faulty value. */
export interface FaultLine {
    readonly path: ValuePath;
    /** The path as reported by the fleet, such as `$.teams[0].name`. */
    readonly pathText: string;
    readonly message: string;
}

const FAULT_PATTERN = /^\d+:\d+ (\$(?:\.[A-Za-z_$][\w$]*|\[\d+\]|\["(?:[^"\\]|\\.)*"\])*): ([\s\S]*)$/;

const PATH_SEGMENT_PATTERN = /\.([A-Za-z_$][\w$]*)|\[(\d+)\]|\[("(?:[^"\\]|\\.)*")\]/g;

const readPath = (text: string): ValuePath =>
    [...text.matchAll(PATH_SEGMENT_PATTERN)].map(([, key, index, quoted]) => {
        if (key !== undefined) {
            return key;
        }
        return index === undefined ? JSON.parse(quoted ?? "\"\"") as string : Number(index);
    });

/** Parses a line `line:column path: message`; a line of another shape gets the path of the whole document. */
export const readFaultLine = (line: string): FaultLine => {
    const match = FAULT_PATTERN.exec(line);
    if (match === null) {
        return { path: [], pathText: "$", message: line };
    }
    const [, pathText = "$", message = ""] = match;
    return { path: readPath(pathText), pathText, message };
};

/** Whether the inner path equals the outer path or lies below it. */
export const isPathWithin = (inner: ValuePath, outer: ValuePath): boolean =>
    outer.every((key, index) => inner[index] === key);
