import { isRecord, type JsonRecord, toList, toRecord, toText } from "./json-value.js";

/** Result of merging two edits of the same base. */
export interface MergedDocument {
    readonly document: JsonRecord;
    /** Values changed by both edits: the path and whose value was taken. */
    readonly overlaps: readonly string[];
}

const sortKeys = (value: unknown): unknown => {
    if (Array.isArray(value)) {
        return value.map(sortKeys);
    }
    if (!isRecord(value)) {
        return value;
    }
    const entries = Object.entries(value).sort(([a], [b]) => (a < b ? -1 : 1));
    return Object.fromEntries(entries.map(([key, member]) => [key, sortKeys(member)]));
};

const isSame = (a: unknown, b: unknown): boolean => JSON.stringify(sortKeys(a)) === JSON.stringify(sortKeys(b));

const getKey = (entry: unknown): string => {
    const { name, id } = toRecord(entry);
    return toText(name ?? id);
};

/** Returns the keys of a list's entries; repeated names are numbered, so that no entry of an invalid edit is lost. */
const getKeys = (list: unknown): readonly string[] => {
    const counts = new Map<string, number>();
    return toList(list).map(entry => {
        const key = getKey(entry);
        const count = (counts.get(key) ?? 0) + 1;
        counts.set(key, count);
        return count === 1 ? key : `${key} (${count})`;
    });
};

const indexEntries = (list: unknown): ReadonlyMap<string, unknown> => {
    const entries = toList(list);
    return new Map(getKeys(list).map((key, index) => [key, entries[index]]));
};

interface Versions {
    readonly base: unknown;
    readonly mine: unknown;
    readonly theirs: unknown;
}

type MergeValue = (versions: Versions, path: string) => unknown;

/** Takes the value that one side changed; if both did, takes the operator's own and records the path. */
const mergeAtomically = ({ base, mine, theirs }: Versions, path: string, overlaps: string[]): unknown => {
    if (isSame(mine, base) || isSame(mine, theirs)) {
        return theirs;
    }
    if (!isSame(theirs, base)) {
        overlaps.push(`${path}: yours is taken`);
    }
    return mine;
};

const getOrder = ({ base, mine, theirs }: Versions): readonly string[] => {
    const [before, own, others] = [getKeys(base), getKeys(mine), getKeys(theirs)];
    const isInBoth = (key: string): boolean => before.includes(key) && own.includes(key);
    const isReordered = before.filter(isInBoth).join("\n") !== own.filter(isInBoth).join("\n");
    return [...new Set(isReordered ? [...own, ...others] : [...others, ...own])];
};

/** Merges lists whose entries are identified by name or id. */
const mergeLists = (versions: Versions, path: string, mergeEntry: MergeValue): readonly unknown[] => {
    const { base, mine, theirs } = versions;
    const [before, own, others] = [indexEntries(base), indexEntries(mine), indexEntries(theirs)];
    return getOrder(versions)
        .map(key =>
            mergeEntry({ base: before.get(key), mine: own.get(key), theirs: others.get(key) }, `${path}/${key}`)
        )
        .filter(entry => entry !== undefined);
};

/** Keeps an accepted top-up unchanged, even if the operator's own edit has another value under its id. */
const mergeTopUp = ({ mine, theirs }: Versions, path: string, overlaps: string[]): unknown => {
    if (theirs !== undefined && mine !== undefined && !isSame(mine, theirs)) {
        overlaps.push(`${path}: the accepted one stays`);
    }
    return theirs ?? mine;
};

const mergeBudget = (versions: Versions, path: string, overlaps: string[]): unknown => {
    const { base, mine, theirs } = versions;
    if (!isRecord(mine) || !isRecord(theirs)) {
        return mergeAtomically(versions, path, overlaps);
    }
    const topUps = mergeLists(
        { base: toRecord(base).topUps, mine: mine.topUps, theirs: theirs.topUps },
        `${path}/topUps`,
        (entries, at) => mergeTopUp(entries, at, overlaps),
    );
    const flags = { base: toRecord(base).closed, mine: mine.closed, theirs: theirs.closed };
    return { ...theirs, topUps, closed: mergeAtomically(flags, `${path}/closed`, overlaps) };
};

/**
 * Merges an operator's edit into a newer document, entry by entry and top-up by top-up, so that the top-ups of both
 * sides are kept.
 */
export const mergeDocuments = (base: unknown, mine: unknown, theirs: unknown): MergedDocument => {
    const overlaps: string[] = [];
    const sections = new Set([...Object.keys(toRecord(theirs)), ...Object.keys(toRecord(mine))]);
    const merged = [...sections].map(section => {
        const versions = {
            base: toRecord(base)[section],
            mine: toRecord(mine)[section],
            theirs: toRecord(theirs)[section],
        };
        const mergeEntry: MergeValue = (entries, path) =>
            section === "budgets" ? mergeBudget(entries, path, overlaps) : mergeAtomically(entries, path, overlaps);
        return [section, mergeLists(versions, section, mergeEntry)] as const;
    });
    // The round trip drops undefined members, as serializing the document does.
    return { document: JSON.parse(JSON.stringify(Object.fromEntries(merged))) as JsonRecord, overlaps };
};
