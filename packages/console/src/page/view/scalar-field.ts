import { toText, type ValuePath } from "../document/json-value.js";
import type { FormSchema } from "../form/form-schema.js";
import { canHash, hashKey } from "../form/hash-key.js";
import { readInput } from "../form/read-input.js";
import { createButton, createElement } from "./create-element.js";
import type { FormContext } from "./form-context.js";

/** Path, label and required flag of a field. */
export interface FieldProps {
    readonly path: ValuePath;
    readonly label: string;
    readonly isRequired: boolean;
}

const getOptions = (schema: FormSchema, isRequired: boolean): readonly string[] | undefined => {
    const options = schema.enum ?? (schema.type === "boolean" ? ["true", "false"] : undefined);
    return options === undefined || isRequired ? options : ["", ...options];
};

const createSelect = (options: readonly string[], value: string): HTMLSelectElement => {
    const select = createElement("select", {
        children: options.map(option =>
            createElement("option", { text: option === "" ? "(default)" : option, attributes: { value: option } })
        ),
    });
    select.value = value;
    return select;
};

const createInput = (schema: FormSchema, value: string): HTMLInputElement => {
    const isNumber = schema.type === "integer" || schema.type === "number";
    const input = createElement("input", {
        attributes: {
            type: "text",
            autocomplete: "off",
            spellcheck: "false",
            ...(isNumber ? { inputmode: "decimal" } : {}),
        },
    });
    input.value = value;
    return input;
};

/** Creates an input for a plaintext key; only its hash is written to the document. */
const createKeyHasher = (onHash: (sha256: string) => void): HTMLElement => {
    if (!canHash()) {
        return createElement("small", {
            text: "This browser hashes only on pages over HTTPS or from its own machine; "
                + "`ospreyreel hash-key` prints the SHA-256 of a key.",
        });
    }
    const key = createElement("input", {
        attributes: {
            "type": "password",
            "autocomplete": "off",
            "aria-label": "Key in clear",
            "placeholder": "key in clear",
        },
    });
    const errorElement = createElement("small", { className: "fault" });
    const run = async (): Promise<void> => {
        try {
            onHash(await hashKey(key.value));
            key.value = "";
            errorElement.textContent = "";
        }
        catch (err) {
            errorElement.textContent = err instanceof Error ? err.message : String(err);
        }
    };
    const children = [key, createButton("Hash here", () => void run()), errorElement];
    return createElement("span", { className: "hasher", children });
};

/** Creates the field of a text, number, boolean or enum. */
export const createScalarField = (schema: FormSchema, props: FieldProps, ctx: FormContext): HTMLElement => {
    const { path, label, isRequired } = props;
    const value = toText(ctx.get(path));
    const options = getOptions(schema, isRequired);
    const control = options === undefined ? createInput(schema, value) : createSelect(options, value);
    const isLocked = ctx.isAccepted(path);
    control.disabled = isLocked;
    control.dataset.path = JSON.stringify(path);
    const storeValue = (): void => ctx.set(path, readInput(schema, control.value, isRequired));
    control.addEventListener("input", storeValue);
    const name = createElement("span", { className: "label", text: isRequired ? label : `${label} (optional)` });
    const field = createElement("div", {
        className: "field",
        children: [createElement("label", { children: [name, control] })],
    });
    if (path.at(-1) === "sha256") {
        field.append(createKeyHasher(sha256 => {
            control.value = sha256;
            storeValue();
        }));
    }
    if (schema.description !== undefined) {
        const note = isLocked ? `${schema.description} Accepted, so it stays.` : schema.description;
        field.append(createElement("small", { text: note }));
    }
    ctx.getFaults(path).forEach(text => field.append(createElement("small", { className: "fault", text })));
    return field;
};
