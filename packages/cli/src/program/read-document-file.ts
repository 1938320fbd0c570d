import { checkDocument, formatFaults } from "@ospreyreel/config";
import { readFile } from "node:fs/promises";
import { InputError } from "./input-error.js";

/** Reads a file as text; throws {@link InputError}. */
export const readTextFile = async (file: string): Promise<string> => {
    try {
        return await readFile(file, "utf8");
    }
    catch (err) {
        const reason = err instanceof Error && "code" in err ? String(err.code) : "unknown reason";
        throw new InputError(`${file} cannot be read: ${reason}`, { result: "badRequest" });
    }
};

/** Reads a document and checks it; throws {@link InputError} that lists every fault. */
export const readDocumentFile = async (file: string): Promise<string> => {
    const text = await readTextFile(file);
    const { faults } = checkDocument(text);
    if (faults.length > 0) {
        const details = formatFaults(faults, `${file}:`);
        throw new InputError(`${file} is not valid`, { result: "invalidDocument", details });
    }
    return text;
};
