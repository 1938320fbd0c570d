import { InputError } from "./input-error.js";

/** Options as returned by the argument parser, not yet validated. */
export type RawOptions = Readonly<Record<string, unknown>>;

/** Reads a text option; the last value if it is repeated. */
export const readText = (opts: RawOptions, name: string): string | undefined => readTexts(opts, name).at(-1);

/** Reads a text option that may be repeated, one entry per occurrence; comma-separated values are not split. */
export const readTexts = (opts: RawOptions, name: string): readonly string[] => {
    const value = opts[name];
    const list: readonly unknown[] = Array.isArray(value) ? value : value === undefined ? [] : [value];
    return list.map(entry => {
        if (typeof entry !== "string" || entry === "") {
            throw new InputError(`--${name} requires a value`, { result: "badRequest" });
        }
        return entry;
    });
};

/** Reads an option that is an integer of 0 or more. */
export const readCount = (opts: RawOptions, name: string): number | undefined => {
    const text = readText(opts, name);
    if (text === undefined) {
        return undefined;
    }
    if (!/^\d{1,15}$/.test(text)) {
        throw new InputError(`--${name} must be an integer of 0 or more`, { result: "badRequest" });
    }
    return Number(text);
};
