import ModernError, { type InstanceOptions } from "modern-errors";
import { type ResultCode, ResultCodes, type ResultName } from "./result-codes.js";

/** Options of {@link OspreyError}. */
export interface OspreyErrorOptions extends InstanceOptions {
    /** Entry of the table of result codes; `internal` by default. */
    readonly result?: ResultName;
    /** Overrides the table's Retry-After, in seconds. */
    readonly retryAfterS?: number | undefined;
    /** Further lines of the message, such as one for each fault of a document. */
    readonly details?: readonly string[];
}

class ResultError extends ModernError {
    readonly result: ResultCode;
    readonly retryAfterS: number | undefined;
    readonly details: readonly string[];
    /** The message without the messages of its causes, which may contain addresses. */
    readonly publicMessage: string;

    constructor(message: string, opts: OspreyErrorOptions = {}) {
        const { result = "internal", retryAfterS, details, ...rest } = opts;
        super(message, rest);
        this.result = ResultCodes[result];
        this.retryAfterS = retryAfterS ?? this.result.retryAfterS;
        this.details = details ?? [];
        this.publicMessage = message === "" ? this.result.meaning : message;
    }
}

const ResultErrorClass = ModernError.subclass("OspreyError", { custom: ResultError });

/** Instance of {@link OspreyError}. */
export type OspreyError = InstanceType<typeof ResultErrorClass> & Error;

/** Class of {@link OspreyError}; the library's own type hides that an instance is an `Error`. */
export type OspreyErrorClass =
    & (new(message: string, opts?: OspreyErrorOptions) => OspreyError)
    & typeof ResultErrorClass;

/** An error that carries a numbered result code: `new OspreyError(message, { result, cause })`. */
export const OspreyError = ResultErrorClass as OspreyErrorClass;

/** Whether an error carries the named result code. */
export const hasResult = (err: unknown, name: ResultName): err is OspreyError =>
    err instanceof OspreyError && err.result.code === ResultCodes[name].code;

/** Converts any thrown value into an error with a result code; one without a code becomes `internal`. */
export const toOspreyError = (err: unknown): OspreyError => {
    if (err instanceof OspreyError) {
        return err;
    }
    // The library adds the message of the cause to the empty one.
    return new OspreyError("", { result: "internal", cause: err });
};
