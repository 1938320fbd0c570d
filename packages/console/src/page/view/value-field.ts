import { toRecord } from "../document/json-value.js";
import { changeBranch, getBranch, getBranchName } from "../form/create-initial-value.js";
import type { FormSchema } from "../form/form-schema.js";
import { createElement } from "./create-element.js";
import type { FormContext } from "./form-context.js";
import { createListField } from "./list-field.js";
import { createScalarField, type FieldProps } from "./scalar-field.js";

const createRecordField = (schema: FormSchema, { path }: FieldProps, ctx: FormContext): HTMLElement => {
    const members = Object.entries(schema.properties ?? {}).filter(([, member]) => member.const === undefined);
    return createElement("div", {
        className: "record",
        children: members.map(([name, member]) =>
            createValueField(member, {
                path: [...path, name],
                label: member.title ?? name,
                isRequired: schema.required?.includes(name) ?? false,
            }, ctx)
        ),
    });
};

const createUnionField = (schema: FormSchema, props: FieldProps, ctx: FormContext): HTMLElement => {
    const names = (schema.oneOf ?? []).map(branch => getBranchName(schema, branch));
    const choice = createElement("select", {
        children: names.map(text => createElement("option", { text, attributes: { value: text } })),
    });
    const body = createElement("div");
    const show = (): void => {
        const branch = getBranch(schema, ctx.get(props.path));
        choice.value = getBranchName(schema, branch);
        body.replaceChildren(createRecordField(branch, props, ctx));
    };
    choice.addEventListener("change", () => {
        ctx.set(props.path, changeBranch(schema, toRecord(ctx.get(props.path)), choice.value));
        show();
    });
    show();
    const label = createElement("label", {
        children: [createElement("span", { className: "label", text: "Kind" }), choice],
    });
    return createElement("div", { children: [createElement("div", { className: "field", children: [label] }), body] });
};

/** Creates the field for a value of any schema type. */
export const createValueField = (schema: FormSchema, props: FieldProps, ctx: FormContext): HTMLElement => {
    if (schema.oneOf !== undefined) {
        return createUnionField(schema, props, ctx);
    }
    if (schema.type === "object") {
        return createRecordField(schema, props, ctx);
    }
    if (schema.type === "array") {
        return createListField(schema, props, ctx, createValueField);
    }
    return createScalarField(schema, props, ctx);
};
