import { moveEntryUp, removeEntry } from "../document/edit-value.js";
import { toList, toRecord, toText, type ValuePath } from "../document/json-value.js";
import { createInitialValue } from "../form/create-initial-value.js";
import type { FormSchema } from "../form/form-schema.js";
import { isAddOnly } from "../form/is-accepted.js";
import { createButton, createElement } from "./create-element.js";
import type { FormContext } from "./form-context.js";
import type { FieldProps } from "./scalar-field.js";

/** Creates the field of one entry. */
export type CreateField = (schema: FormSchema, props: FieldProps, ctx: FormContext) => HTMLElement;

interface ListParts {
    readonly items: FormSchema;
    readonly path: ValuePath;
    readonly ctx: FormContext;
    readonly createField: CreateField;
    /** Renders the list again, with the entry at the index expanded. */
    readonly show: (openIndex?: number) => void;
}

const getTitle = (items: FormSchema, entry: unknown, index: number): string => {
    const { name, id, offering } = toRecord(entry);
    return toText(name ?? id ?? offering) || `${items.title ?? "Entry"} ${index + 1}`;
};

const createActions = ({ path, ctx, show }: ListParts, index: number): readonly HTMLElement[] => {
    const list = toList(ctx.get(path));
    const change = (next: readonly unknown[]): void => {
        ctx.set(path, next);
        show();
    };
    const remove = createButton("Remove", () => change(removeEntry(list, index)));
    if (isAddOnly(path)) {
        return ctx.isAccepted([...path, index]) ? [] : [remove];
    }
    const up = createButton("Up", () => change(moveEntryUp(list, index)));
    return index === 0 ? [remove] : [up, remove];
};

/** Creates one entry; its fields are created when it is first opened, as a document may have thousands of entries. */
const createEntry = (parts: ListParts, index: number, isOpen: boolean): HTMLElement => {
    const { items, path, ctx, createField } = parts;
    const props = { path: [...path, index], label: items.title ?? "Entry", isRequired: true };
    const actions = createElement("span", { className: "actions", children: createActions(parts, index) });
    if (items.type !== "object" && items.oneOf === undefined) {
        return createElement("div", { className: "entry plain", children: [createField(items, props, ctx), actions] });
    }
    const title = createElement("summary", { text: getTitle(items, ctx.get(props.path), index) });
    const details = createElement("details", { className: "entry", children: [title] });
    if (ctx.hasFaultWithin(props.path)) {
        title.classList.add("fault");
    }
    const createFields = (): void => {
        if (details.open && details.childElementCount === 1) {
            details.append(createField(items, props, ctx), actions);
        }
    };
    details.addEventListener("toggle", createFields);
    details.addEventListener("input", () => {
        title.textContent = getTitle(items, ctx.get(props.path), index);
    });
    details.open = isOpen || ctx.hasFaultWithin(props.path);
    createFields();
    return details;
};

/** Creates the field of a list with buttons to add, remove and reorder its entries. */
export const createListField = (
    schema: FormSchema,
    { path, label }: FieldProps,
    ctx: FormContext,
    createField: CreateField,
): HTMLElement => {
    const items = schema.items ?? {};
    const entries = createElement("div");
    const heading = createElement("legend");
    const show = (openIndex?: number): void => {
        const list = toList(ctx.get(path));
        heading.textContent = `${label} (${list.length})`;
        const parts = { items, path, ctx, createField, show };
        entries.replaceChildren(...list.map((_entry, index) => createEntry(parts, index, index === openIndex)));
    };
    show();
    const add = createButton(`Add ${(items.title ?? "entry").toLowerCase()}`, () => {
        const list = toList(ctx.get(path));
        ctx.set(path, [...list, createInitialValue(items)]);
        show(list.length);
    });
    const notes = schema.description === undefined ? [] : [createElement("small", { text: schema.description })];
    const faults = ctx.getFaults(path).map(text => createElement("small", { className: "fault", text }));
    return createElement("fieldset", { className: "list", children: [heading, ...notes, ...faults, entries, add] });
};
