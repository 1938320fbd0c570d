import type { OperatorsDocument } from "./document.js";

/** One difference between two documents. */
export interface DocumentChange {
    readonly kind: "added" | "removed" | "changed";
    /** Section and name, and the field if the change is to one, such as `budgets/alpha/topUps/2026-01/tokens`. */
    readonly path: string;
    /** The change as one line of text. */
    readonly line: string;
}

type Section = keyof OperatorsDocument;

const SECTIONS: readonly Section[] = ["teams", "budgets", "targets", "offerings", "rules"];

/** Returns the field that identifies an entry of a list; a list whose entries have none is compared as one value. */
const getEntryKey = (entry: unknown): string | undefined => {
    if (typeof entry !== "object" || entry === null) {
        return undefined;
    }
    const { id, offering } = entry as { readonly id?: string; readonly offering?: string; };
    return id ?? offering;
};

const flattenField = (path: string, value: unknown): readonly (readonly [string, string])[] => {
    if (Array.isArray(value) && value.some(entry => getEntryKey(entry) !== undefined)) {
        return value.flatMap((entry: unknown) => flattenField(`${path}/${getEntryKey(entry) ?? ""}`, entry));
    }
    if (typeof value === "object" && value !== null && !Array.isArray(value)) {
        return Object.entries(value).flatMap(([key, member]) => flattenField(`${path}/${key}`, member));
    }
    return [[path, JSON.stringify(value)]];
};

const flattenSection = (document: OperatorsDocument | undefined, section: Section): ReadonlyMap<string, string> =>
    new Map((document?.[section] ?? []).flatMap(item => flattenField(`${section}/${item.name}`, item)));

const getNames = (document: OperatorsDocument | undefined, section: Section): readonly string[] =>
    (document?.[section] ?? []).map(item => item.name);

const compareItems = (
    base: OperatorsDocument | undefined,
    next: OperatorsDocument,
    section: Section,
): readonly DocumentChange[] => {
    const before = new Set(getNames(base, section));
    const after = new Set(getNames(next, section));
    const added = [...after].filter(name => !before.has(name)).map((name): DocumentChange => ({
        kind: "added",
        path: `${section}/${name}`,
        line: `+ ${section}/${name}`,
    }));
    const removed = [...before].filter(name => !after.has(name)).map((name): DocumentChange => ({
        kind: "removed",
        path: `${section}/${name}`,
        line: `- ${section}/${name}`,
    }));
    return [...added, ...removed];
};

const compareFields = (
    base: OperatorsDocument | undefined,
    next: OperatorsDocument,
    section: Section,
): readonly DocumentChange[] => {
    const before = flattenSection(base, section);
    const after = flattenSection(next, section);
    const changes: DocumentChange[] = [];
    for (const path of new Set([...before.keys(), ...after.keys()])) {
        const [from, to] = [before.get(path), after.get(path)];
        if (from === undefined) {
            changes.push({ kind: "added", path, line: `+ ${path}: ${to ?? ""}` });
        }
        else if (to === undefined) {
            changes.push({ kind: "removed", path, line: `- ${path}: ${from}` });
        }
        else if (from !== to) {
            changes.push({ kind: "changed", path, line: `~ ${path}: ${from} -> ${to}` });
        }
    }
    return changes;
};

/** Compares the order of the rules that both documents have; the first matching rule applies, so order matters. */
const compareRuleOrder = (base: OperatorsDocument | undefined, next: OperatorsDocument): readonly DocumentChange[] => {
    const before = getNames(base, "rules");
    const after = getNames(next, "rules");
    const keptBefore = before.filter(name => after.includes(name)).join(", ");
    const keptAfter = after.filter(name => before.includes(name)).join(", ");
    return keptBefore === keptAfter
        ? []
        : [{ kind: "changed", path: "rules", line: `~ rules: order ${keptBefore} -> ${keptAfter}` }];
};

const compareText = (a: string, b: string): number => (a < b ? -1 : a > b ? 1 : 0);

/** Lists the differences between two documents by section and name; only for rules does the order of items count. */
export const getDocumentDiff = (
    base: OperatorsDocument | undefined,
    next: OperatorsDocument,
): readonly DocumentChange[] =>
    SECTIONS.flatMap(section => {
        const changes = [...compareItems(base, next, section), ...compareFields(base, next, section)];
        const order = section === "rules" ? compareRuleOrder(base, next) : [];
        return [...changes.sort((a, b) => compareText(a.path, b.path)), ...order];
    });
