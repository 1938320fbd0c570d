/** Keys and indexes that lead from the root of a JSON text to one of its values. */
export type JsonPath = readonly (string | number)[];

/** One reason why a JSON value is rejected. */
export interface Fault {
    readonly path: JsonPath;
    /** Contains no value from the text, since the value may be a secret. */
    readonly message: string;
}

/** A fault with its position in the text; line and column start at 1. */
export interface LocatedFault extends Fault {
    readonly line: number;
    readonly column: number;
}

/** Maximum number of listed faults; the others are only counted, so that hostile texts cannot cause huge responses. */
export const MAX_LISTED_FAULTS = 1000;

const PLAIN_KEY = /^[A-Za-z_$][\w$]*$/;

const formatSegment = (segment: string | number): string => {
    if (typeof segment === "number") {
        return `[${segment}]`;
    }
    return PLAIN_KEY.test(segment) ? `.${segment}` : `[${JSON.stringify(segment)}]`;
};

/** Formats a path in JSONPath notation, such as `$.teams[0].name`. */
export const formatPath = (path: JsonPath): string => `$${path.map(formatSegment).join("")}`;

/** Formats a fault as `line:column path: message`. */
export const formatFault = (fault: LocatedFault): string =>
    `${fault.line}:${fault.column} ${formatPath(fault.path)}: ${fault.message}`;

/** Formats faults in the order of the text, each line after `prefix`; at most {@link MAX_LISTED_FAULTS} of them. */
export const formatFaults = (faults: readonly LocatedFault[], prefix = ""): readonly string[] => {
    const sorted = [...faults].sort((a, b) => a.line - b.line || a.column - b.column);
    const lines = [...new Set(sorted.map(fault => `${prefix}${formatFault(fault)}`))];
    if (lines.length <= MAX_LISTED_FAULTS) {
        return lines;
    }
    return [...lines.slice(0, MAX_LISTED_FAULTS), `and ${lines.length - MAX_LISTED_FAULTS} more faults`];
};

/** Formats the number of fault lines. */
export const describeFaultCount = (lines: readonly string[]): string =>
    lines.length === 1 ? "1 fault" : `${lines.length} faults`;
