/** Why an instance itself ends a request; the first group promises that the request has not run and will not. */
export type RefusalReason =
    | "notReady"
    | "overloaded"
    | "noTarget"
    | "budgetUnavailable"
    | "timedOutUnsent"
    | "noSuchRoute"
    | "unknownKey"
    | "budgetExhausted"
    | "badRequest"
    | "bodyTooLarge"
    | "targetFailed"
    | "timedOut";

/** An answer of the instance's own. */
export interface RelayRefusal {
    readonly reason: RefusalReason;
    /** When a repeat may be served, in seconds; undefined where a repeat cannot help. */
    readonly retryAfterS?: number;
}

/** HTTP status of each refusal. 503 promises that the request has not run; 502 and 504 promise nothing. */
export const REFUSAL_STATUS: Readonly<Record<RefusalReason, number>> = {
    notReady: 503,
    overloaded: 503,
    noTarget: 503,
    budgetUnavailable: 503,
    timedOutUnsent: 503,
    noSuchRoute: 404,
    unknownKey: 401,
    budgetExhausted: 402,
    badRequest: 400,
    bodyTooLarge: 413,
    targetFailed: 502,
    timedOut: 504,
};
