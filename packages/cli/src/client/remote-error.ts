import type { OperatorErrorBody } from "@ospreyreel/config";
import { OspreyError, ResultCodes, type ResultName } from "@ospreyreel/errors";

const RESULT_NAMES = Object.keys(ResultCodes) as readonly ResultName[];

const findResultName = (code: unknown): ResultName | undefined =>
    RESULT_NAMES.find(name => ResultCodes[name].code === code);

/** Converts an error response of the operator port; undefined if the body has another shape. */
export const toRemoteError = (body: unknown): OspreyError | undefined => {
    const error = (body as Partial<OperatorErrorBody> | undefined)?.error as
        | Partial<OperatorErrorBody["error"]>
        | undefined;
    const result = findResultName(error?.code);
    if (result === undefined) {
        return undefined;
    }
    const details = Array.isArray(error?.details) ? error.details.map(String) : [];
    return new OspreyError(String(error?.message), { result, details });
};

const NEVER_SENT_CODES = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

/** Whether a failed request certainly never reached the instance. */
export const wasNeverSent = (err: unknown): boolean =>
    err instanceof Error && "code" in err && NEVER_SENT_CODES.has(String(err.code));
