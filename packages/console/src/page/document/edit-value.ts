import { toList, toRecord, type ValuePath } from "./json-value.js";

/** Returns the value at a path; undefined if there is none. */
export const getAt = (root: unknown, path: ValuePath): unknown =>
    path.reduce<unknown>(
        (value, key) => (typeof key === "number" ? toList(value)[key] : toRecord(value)[key]),
        root,
    );

/** Returns a copy with another value at a path; undefined removes a member of an object. */
export const setAt = (root: unknown, path: ValuePath, next: unknown): unknown => {
    const [key, ...rest] = path;
    if (key === undefined) {
        return next;
    }
    if (typeof key === "number") {
        return toList(root).map((entry, index) => (index === key ? setAt(entry, rest, next) : entry));
    }
    const record = toRecord(root);
    const member = setAt(record[key], rest, next);
    if (member === undefined) {
        return Object.fromEntries(Object.entries(record).filter(([name]) => name !== key));
    }
    return { ...record, [key]: member };
};

/** Returns a copy of a list without one entry. */
export const removeEntry = (list: readonly unknown[], index: number): readonly unknown[] =>
    list.filter((_entry, at) => at !== index);

/** Returns a copy of a list with one entry moved one place up. */
export const moveEntryUp = (list: readonly unknown[], index: number): readonly unknown[] => {
    const moved = [...list];
    if (index > 0 && index < list.length) {
        [moved[index - 1], moved[index]] = [moved[index], moved[index - 1]];
    }
    return moved;
};
