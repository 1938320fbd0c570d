import type { Fault, JsonPath } from "../json/fault.js";
import { asArray, asNumber, asRecord, asString } from "../json/narrow.js";

/** One item of a section with its path. */
interface Item {
    readonly path: JsonPath;
    readonly fields: Readonly<Record<string, unknown>>;
}

const getItems = (parent: Readonly<Record<string, unknown>>, key: string, path: JsonPath = []): readonly Item[] =>
    asArray(parent[key]).map((value, index) => ({ path: [...path, key, index], fields: asRecord(value) }));

const findRepeats = (items: readonly Item[], field: string, label: string): readonly Fault[] => {
    const seen = new Set<string>();
    return items.flatMap(item => {
        const value = asString(item.fields[field]);
        if (value === undefined) {
            return [];
        }
        const repeated = seen.has(value);
        seen.add(value);
        return repeated ? [{ path: [...item.path, field], message: `the ${label} is used twice` }] : [];
    });
};

const getNames = (items: readonly Item[]): ReadonlySet<string> =>
    new Set(items.flatMap(item => asString(item.fields.name) ?? []));

const findUnknownName = (
    value: unknown,
    path: JsonPath,
    names: ReadonlySet<string>,
    label: string,
): readonly Fault[] => {
    const name = asString(value);
    return name === undefined || names.has(name) ? [] : [{ path, message: `there is no ${label} of this name` }];
};

const findTeamFaults = (teams: readonly Item[], budgets: readonly Item[]): readonly Fault[] => {
    const budgetNames = getNames(budgets);
    const keys = teams.map(team => getItems(team.fields, "keys", team.path));
    return [
        ...findRepeats(teams, "name", "name"),
        ...teams.flatMap(team => findUnknownName(team.fields.budget, [...team.path, "budget"], budgetNames, "budget")),
        ...keys.flatMap(list => findRepeats(list, "id", "key id")),
        ...findRepeats(keys.flat(), "sha256", "key"),
    ];
};

const findBudgetFaults = (budgets: readonly Item[]): readonly Fault[] => [
    ...findRepeats(budgets, "name", "name"),
    ...budgets.flatMap(budget => {
        const topUps = getItems(budget.fields, "topUps", budget.path);
        const prepaid = topUps.reduce((sum, topUp) => sum + (asNumber(topUp.fields.tokens) ?? 0), 0);
        const faults = findRepeats(topUps, "id", "top-up id");
        return prepaid <= Number.MAX_SAFE_INTEGER
            ? faults
            : [...faults, { path: [...budget.path, "topUps"], message: "the sum of tokens is too large" }];
    }),
];

const OFFERING_TARGET_KINDS: Readonly<Record<string, string>> = { model: "engine", service: "service" };

const findOfferingFaults = (offerings: readonly Item[], targets: readonly Item[]): readonly Fault[] => {
    const kinds = new Map(targets.map(target => [asString(target.fields.name), asString(target.fields.kind)]));
    const targetNames = getNames(targets);
    const faults = offerings.flatMap(offering => {
        const requiredKind = OFFERING_TARGET_KINDS[asString(offering.fields.kind) ?? ""];
        return asArray(offering.fields.targets).flatMap((target, index) => {
            const path = [...offering.path, "targets", index];
            const kind = kinds.get(asString(target));
            const isMismatch = requiredKind !== undefined && kind !== undefined && kind !== requiredKind;
            return isMismatch
                ? [{ path, message: `the target is of kind ${kind}, the offering needs ${requiredKind}` }]
                : findUnknownName(target, path, targetNames, "target");
        });
    });
    return [...findRepeats(offerings, "name", "name"), ...faults];
};

const findRouteFaults = (rule: Item, offerings: readonly Item[]): readonly Fault[] => {
    const offeringNames = getNames(offerings);
    const kinds = new Map(offerings.map(offering => [asString(offering.fields.name), asString(offering.fields.kind)]));
    const routes = getItems(rule.fields, "routes", rule.path);
    const faults: Fault[] = [
        ...findRepeats(routes, "offering", "offering"),
        ...routes.flatMap(route =>
            findUnknownName(route.fields.offering, [...route.path, "offering"], offeringNames, "offering")
        ),
    ];
    const shares = routes.map(route => asNumber(route.fields.share));
    if (routes.length > 0 && shares.every(share => share === 0)) {
        faults.push({ path: [...rule.path, "routes"], message: "the sum of shares must be more than 0" });
    }
    const routeKinds = new Set(routes.flatMap(route => kinds.get(asString(route.fields.offering)) ?? []));
    if (routeKinds.size > 1) {
        faults.push({ path: [...rule.path, "routes"], message: "offerings of one rule must be of one kind" });
    }
    return faults;
};

const findRuleFaults = (
    rules: readonly Item[],
    teams: readonly Item[],
    offerings: readonly Item[],
): readonly Fault[] => {
    const teamNames = new Set(["*", ...getNames(teams)]);
    return [
        ...findRepeats(rules, "name", "name"),
        ...rules.flatMap(rule => [
            ...asArray(rule.fields.teams).flatMap((team, index) =>
                findUnknownName(team, [...rule.path, "teams", index], teamNames, "team")
            ),
            ...findRouteFaults(rule, offerings),
        ]),
    ];
};

/**
 * Finds repeated names, references to missing items, mismatched kinds and sums out of range. Accepts any value, so that
 * the reference faults of a document with shape faults are reported together with those.
 */
export const findReferenceFaults = (value: unknown): readonly Fault[] => {
    const document = asRecord(value);
    const teams = getItems(document, "teams");
    const budgets = getItems(document, "budgets");
    const targets = getItems(document, "targets");
    const offerings = getItems(document, "offerings");
    return [
        ...findTeamFaults(teams, budgets),
        ...findBudgetFaults(budgets),
        ...findRepeats(targets, "name", "name"),
        ...findOfferingFaults(offerings, targets),
        ...findRuleFaults(getItems(document, "rules"), teams, offerings),
    ];
};
