import { OspreyError } from "@ospreyreel/errors";
import { readFile } from "node:fs/promises";
import { describeFaultCount, type Fault, formatFaults } from "./fault.js";
import { parseJsonText } from "./json-text.js";
import type { ShapeResult } from "./shape.js";

/**
 * Parses settings in JSON with comments and checks them; throws `invalidSettings`, which lists every fault as
 * `file:line:column path: message`.
 */
export const parseCheckedJson = <T>(
    text: string,
    fileName: string,
    checkShape: (value: unknown) => ShapeResult<T>,
    findFaults: (value: T) => readonly Fault[] = () => [],
): T => {
    const json = parseJsonText(text);
    const shape = json.value === undefined ? { value: undefined, faults: [] } : checkShape(json.value);
    const furtherFaults = shape.value === undefined ? [] : findFaults(shape.value);
    const faults = [...json.faults, ...[...shape.faults, ...furtherFaults].map(json.locate)];
    if (shape.value === undefined || faults.length > 0) {
        const details = formatFaults(faults, `${fileName}:`);
        throw new OspreyError(`${fileName} is not valid: ${describeFaultCount(details)}`, {
            result: "invalidSettings",
            details,
        });
    }
    return shape.value;
};

/** Reads a settings file; throws `invalidSettings` where it cannot be read. */
export const readSettingsText = async (file: string): Promise<string> => {
    try {
        return await readFile(file, "utf8");
    }
    catch (err) {
        const reason = err instanceof Error && "code" in err ? String(err.code) : "unknown reason";
        throw new OspreyError(`${file} cannot be read: ${reason}`, {
            result: "invalidSettings",
            details: [`${file}:1:1 $: cannot be read: ${reason}`],
        });
    }
};
