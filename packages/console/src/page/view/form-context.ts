import type { ValuePath } from "../document/json-value.js";

/** Access to the edited document and its faults, shared by all fields of a form. */
export interface FormContext {
    readonly get: (path: ValuePath) => unknown;
    readonly set: (path: ValuePath, value: unknown) => void;
    /** Whether the value was already accepted and must not change. */
    readonly isAccepted: (path: ValuePath) => boolean;
    /** Messages of the faults at exactly this path. */
    readonly getFaults: (path: ValuePath) => readonly string[];
    /** Whether there is a fault at this path or below it. */
    readonly hasFaultWithin: (path: ValuePath) => boolean;
}
