import type { OspreyError } from "@ospreyreel/errors";

/** Body of an error response; the fields are fixed so that callers can decide on a retry. */
export interface ErrorBody {
    readonly error: {
        readonly message: string;
        /** Name of the result code. */
        readonly type: string;
        /** Number of the result code. */
        readonly code: number;
        /** `not_run`: nothing was sent to a target; `unknown`: it may have run; `done`: it ran and is billed. */
        readonly outcome: string;
        readonly request_id: string;
        readonly retry_after_s: number | undefined;
        readonly details: readonly string[] | undefined;
    };
}

/** Returns the body for an error with a result code. */
export const getErrorBody = (err: OspreyError, requestId: string): ErrorBody => ({
    error: {
        message: err.publicMessage,
        type: err.result.name,
        code: err.result.code,
        outcome: err.result.outcome,
        request_id: requestId,
        retry_after_s: err.retryAfterS,
        details: err.details.length === 0 ? undefined : err.details,
    },
});

/** Returns the headers for an error with a result code. */
export const getErrorHeaders = (err: OspreyError, requestId: string): Record<string, string> => ({
    "content-type": "application/json",
    "x-request-id": requestId,
    "x-ospreyreel-outcome": err.result.outcome,
    // Common client libraries retry every 409 and 5xx unless this header forbids it.
    "x-should-retry": String(err.retryAfterS !== undefined),
    ...(err.retryAfterS === undefined ? {} : { "retry-after": String(Math.ceil(err.retryAfterS)) }),
});
