/** The subset of JSON Schema that the form supports. */
export interface FormSchema {
    readonly type?: "object" | "array" | "string" | "integer" | "number" | "boolean";
    readonly title?: string;
    readonly description?: string;
    readonly properties?: Readonly<Record<string, FormSchema>>;
    readonly required?: readonly string[];
    readonly items?: FormSchema;
    readonly minItems?: number;
    readonly minimum?: number;
    readonly const?: string;
    readonly enum?: readonly string[];
    /** Branches, each identified by the constant of its discriminator. */
    readonly oneOf?: readonly FormSchema[];
    readonly discriminator?: { readonly propertyName: string; };
}
