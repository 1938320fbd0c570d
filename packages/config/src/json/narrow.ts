/** Returns the value if it is an array, else an empty array. */
export const asArray = (value: unknown): readonly unknown[] => (Array.isArray(value) ? (value as unknown[]) : []);

/** Returns the value if it is an object, else an empty object. */
export const asRecord = (value: unknown): Readonly<Record<string, unknown>> =>
    typeof value === "object" && value !== null && !Array.isArray(value) ? (value as Record<string, unknown>) : {};

/** Returns the value if it is a string, else undefined. */
export const asString = (value: unknown): string | undefined => (typeof value === "string" ? value : undefined);

/** Returns the value if it is a number, else undefined. */
export const asNumber = (value: unknown): number | undefined => (typeof value === "number" ? value : undefined);
