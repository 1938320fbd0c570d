import type { FormSchema } from "./form-schema.js";

const NUMBER_PATTERN = /^-?\d+(\.\d+)?([eE][+-]?\d+)?$/;

/** Converts typed text to a value; undefined omits an optional member. Invalid numbers stay text and fail the check. */
export const readInput = (schema: FormSchema, typed: string, isRequired: boolean): unknown => {
    const text = typed.trim();
    if (text === "" && !isRequired) {
        return undefined;
    }
    switch (schema.type) {
        case "integer":
        case "number":
            return NUMBER_PATTERN.test(text) ? Number(text) : text;
        case "boolean":
            return text === "true";
        default:
            return text;
    }
};
