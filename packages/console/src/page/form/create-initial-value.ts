import { type JsonRecord, toRecord } from "../document/json-value.js";
import type { FormSchema } from "./form-schema.js";

/** Creates the initial value of a new entry; it has the required members only. */
export const createInitialValue = (schema: FormSchema): unknown => {
    if (schema.const !== undefined) {
        return schema.const;
    }
    const [branch] = schema.oneOf ?? [];
    if (branch !== undefined) {
        return createInitialValue(branch);
    }
    switch (schema.type) {
        case "object":
            return Object.fromEntries((schema.required ?? []).map(name => [
                name,
                createInitialValue(schema.properties?.[name] ?? {}),
            ]));
        case "array":
            // A list that must not be empty starts with one entry to fill in.
            return (schema.minItems ?? 0) > 0 && schema.items !== undefined ? [createInitialValue(schema.items)] : [];
        case "integer":
        case "number":
            return schema.minimum ?? 0;
        case "boolean":
            return false;
        default:
            return schema.enum?.[0] ?? "";
    }
};

const getDiscriminator = (schema: FormSchema): string => schema.discriminator?.propertyName ?? "kind";

/** Returns the name of a branch: the constant of its discriminator. */
export const getBranchName = (schema: FormSchema, branch: FormSchema): string =>
    branch.properties?.[getDiscriminator(schema)]?.const ?? "";

/** Finds the branch that a value belongs to; the first one if its discriminator matches none. */
export const getBranch = (schema: FormSchema, value: unknown): FormSchema => {
    const name = toRecord(value)[getDiscriminator(schema)];
    const branches = schema.oneOf ?? [];
    return branches.find(branch => getBranchName(schema, branch) === name) ?? branches[0] ?? {};
};

/** Converts a value to another branch; members that the new branch also has keep their values. */
export const changeBranch = (schema: FormSchema, value: unknown, name: string): JsonRecord => {
    const branch = (schema.oneOf ?? []).find(candidate => getBranchName(schema, candidate) === name) ?? {};
    const sharedMembers = Object.entries(toRecord(value)).filter(([key]) =>
        key !== getDiscriminator(schema) && branch.properties?.[key] !== undefined
    );
    return { ...toRecord(createInitialValue(branch)), ...Object.fromEntries(sharedMembers) };
};
