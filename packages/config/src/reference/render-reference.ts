/** The part of a JSON Schema that a reference shows. */
export interface ReferenceSchema {
    readonly type?: string;
    readonly title?: string;
    readonly description?: string;
    readonly default?: unknown;
    readonly const?: unknown;
    readonly enum?: readonly unknown[];
    readonly format?: string;
    readonly pattern?: string;
    readonly minimum?: number;
    readonly maximum?: number;
    readonly minLength?: number;
    readonly maxLength?: number;
    readonly minItems?: number;
    readonly maxItems?: number;
    readonly required?: readonly string[];
    readonly properties?: Readonly<Record<string, ReferenceSchema>>;
    readonly items?: ReferenceSchema;
    readonly oneOf?: readonly ReferenceSchema[];
}

const HEADING = ["Key", "Type", "Default", "Limits", "Meaning"];

const formatNumber = (value: number): string => value.toLocaleString("en-US");

const formatRange = (what: string, low: number | undefined, high: number | undefined): readonly string[] => {
    if (low === undefined && high === undefined) {
        return [];
    }
    const from = low === undefined ? "" : `from ${formatNumber(low)} `;
    const to = high === undefined ? "" : `to ${formatNumber(high)} `;
    return [`${from}${to}${what}`.trim()];
};

const formatLimits = (schema: ReferenceSchema): string =>
    [
        ...(schema.enum ?? []).map(value => `\`${String(value)}\``),
        ...(schema.format === undefined ? [] : [schema.format]),
        ...(schema.pattern === undefined ? [] : [`\`${schema.pattern.replaceAll("|", "\\|")}\``]),
        ...formatRange("", schema.minimum, schema.maximum),
        ...formatRange("characters", schema.minLength, schema.maxLength),
        ...formatRange("entries", schema.minItems, schema.maxItems),
    ].join(", ");

const formatType = (schema: ReferenceSchema): string => {
    if (schema.const !== undefined) {
        return `\`${JSON.stringify(schema.const)}\``;
    }
    return schema.type === "array" ? `array of ${schema.items?.type ?? "values"}` : schema.type ?? "value";
};

const formatDefault = (schema: ReferenceSchema, required: boolean): string => {
    if (schema.default === undefined) {
        return required ? "required" : "optional";
    }
    return schema.type === "object" ? "all defaults" : `\`${JSON.stringify(schema.default)}\``;
};

const formatRow = (cells: readonly string[]): string => `| ${cells.join(" | ")} |`;

const renderTable = (schema: ReferenceSchema): readonly string[] => {
    const rows = Object.entries(schema.properties ?? {}).map(([key, member]) => [
        `\`${key}\``,
        formatType(member),
        formatDefault(member, schema.required?.includes(key) ?? false),
        formatLimits(member),
        member.description ?? "",
    ]);
    return [HEADING, HEADING.map(() => "---"), ...rows].map(formatRow);
};

const renderObject = (path: string, schema: ReferenceSchema): readonly string[] => {
    const title = schema.title === undefined ? "" : `: ${schema.title}`;
    const own = [`## \`${path}\`${title}`, "", schema.description ?? "", "", ...renderTable(schema), ""];
    const members = Object.entries(schema.properties ?? {});
    return [...own, ...members.flatMap(([key, member]) => renderSchema(`${path}.${key}`, member))];
};

const renderSchema = (path: string, schema: ReferenceSchema): readonly string[] => {
    if (schema.items !== undefined) {
        return renderSchema(`${path}[]`, schema.items);
    }
    if (schema.oneOf !== undefined) {
        return schema.oneOf.flatMap(choice => renderSchema(path, choice));
    }
    return schema.properties === undefined ? [] : renderObject(path, schema);
};

/** Writes a reference of all keys of a schema in Markdown. */
export const renderReference = (title: string, schema: ReferenceSchema): string => {
    const note = "Made by `npm run docs` from the schema; change the schema, not this page.";
    return [`# ${title}`, "", note, "", ...renderSchema("$", schema)].join("\n").trimEnd() + "\n";
};
