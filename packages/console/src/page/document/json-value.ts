/** Keys and indexes from the root of a document to one of its values. */
export type ValuePath = readonly (string | number)[];

/** An object of a document. */
export type JsonRecord = Readonly<Record<string, unknown>>;

/** Whether a value is an object and not an array or null. */
export const isRecord = (value: unknown): value is JsonRecord =>
    typeof value === "object" && value !== null && !Array.isArray(value);

/** Returns the value if it is an array, otherwise an empty one. */
export const toList = (value: unknown): readonly unknown[] => (Array.isArray(value) ? (value as unknown[]) : []);

/** Returns the value if it is an object, otherwise an empty one. */
export const toRecord = (value: unknown): JsonRecord => (isRecord(value) ? value : {});

/** Converts a scalar to text; empty if the value is not a scalar. */
export const toText = (value: unknown): string =>
    typeof value === "string" || typeof value === "number" || typeof value === "boolean" ? String(value) : "";
