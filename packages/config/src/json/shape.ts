import type { Static, TSchema } from "@sinclair/typebox";
import { Ajv, type ErrorObject, type ValidateFunction } from "ajv";
import type { Fault, JsonPath } from "./fault.js";
import { isIpBaseUrl, isIpNumber, isIpUrl } from "./ip-formats.js";

/** Result of a shape check. */
export interface ShapeResult<T> {
    /** The value with defaults filled in; undefined where there are faults. */
    readonly value: T | undefined;
    readonly faults: readonly Fault[];
}

const readPointer = (pointer: string): JsonPath =>
    pointer.split("/").slice(1).map(part => {
        const key = part.replaceAll("~1", "/").replaceAll("~0", "~");
        return /^\d+$/.test(key) ? Number(key) : key;
    });

const describeFormat = (format: unknown): string => {
    switch (format) {
        case "ip-number":
            return "must be an IP number, not a name";
        case "ip-base-url":
            return "must be http://IP:PORT by IP number, without a path";
        case "ip-url":
            return "must be an http URL by IP number";
        default:
            return `must match format ${String(format)}`;
    }
};

const toFault = (err: ErrorObject): Fault => {
    const path = readPointer(err.instancePath);
    const params = err.params as Readonly<Record<string, unknown>>;
    switch (err.keyword) {
        case "additionalProperties":
            return { path: [...path, String(params.additionalProperty)], message: "unknown key" };
        case "required":
            return { path: [...path, String(params.missingProperty)], message: "missing" };
        case "enum":
            return { path, message: `must be one of ${(params.allowedValues as readonly string[]).join(", ")}` };
        case "const":
            return { path, message: `must be ${JSON.stringify(params.allowedValue)}` };
        case "discriminator":
            return { path: [...path, String(params.tag)], message: "must be one of the kinds of the schema" };
        case "format":
            return { path, message: describeFormat(params.format) };
        default:
            return { path, message: err.message ?? "is not valid" };
    }
};

/** Creates the compiler of schemas. Whether a schema is one is not checked at run time, which takes longer than to compile it. */
const createCompiler = (): Ajv => {
    const ajv = new Ajv({
        allErrors: true,
        useDefaults: true,
        discriminator: true,
        strictTypes: false,
        validateSchema: false,
        addUsedSchema: false,
        meta: false,
    });
    ajv.addFormat("ip-number", isIpNumber);
    ajv.addFormat("ip-base-url", isIpBaseUrl);
    ajv.addFormat("ip-url", isIpUrl);
    return ajv;
};

/**
 * Creates a check against a schema that reports all faults together and fills in defaults. The schema is compiled by the first
 * check, so that a process that starts compiles only those that it needs.
 */
export const createShapeCheck = <T extends TSchema>(schema: T): (value: unknown) => ShapeResult<Static<T>> => {
    let compiled: ValidateFunction<Static<T>> | undefined;
    return value => {
        compiled ??= createCompiler().compile<Static<T>>(schema);
        if (compiled(value)) {
            return { value, faults: [] };
        }
        return { value: undefined, faults: (compiled.errors ?? []).map(toFault) };
    };
};

/** Whether a schema conforms to JSON Schema, as each that a check is created from must; for tests of schemas. */
export const isValidSchema = (schema: TSchema): boolean =>
    new Ajv({ strictTypes: false }).validateSchema(schema) === true;
