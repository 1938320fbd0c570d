/** Why an instance itself ends a request; the reasons with status 503 guarantee that it has not run and will not. */
export type RefusalReason =
    | "notReady"
    | "leaving"
    | "viewOutdated"
    | "overloaded"
    | "noTarget"
    | "targetsLimited"
    | "originUnknown"
    | "versionUnavailable"
    | "partQuarantined"
    | "requestQuarantined"
    | "budgetUnavailable"
    | "timedOutUnsent"
    | "noSuchRoute"
    | "unknownKey"
    | "budgetExhausted"
    | "badRequest"
    | "bodyTooLarge"
    | "targetFailed"
    | "timedOut";

/** A response by the instance itself. */
export interface RelayRefusal {
    readonly reason: RefusalReason;
    /** Time after which a retry may succeed, in seconds; undefined where a retry cannot help. */
    readonly retryAfterS?: number;
}

/** Refusal of an instance that is leaving; other instances can serve at once. */
export const LEAVING_REFUSAL = { reason: "leaving", retryAfterS: 0.1 } as const satisfies RelayRefusal;

/** Refusal where no target can serve a request; one that comes back is found by then. */
export const NO_TARGET_REFUSAL = { reason: "noTarget", retryAfterS: 0.5 } as const satisfies RelayRefusal;

/** HTTP status of each refusal. 503 guarantees that the request has not run; 502 and 504 guarantee nothing. */
export const REFUSAL_STATUS: Readonly<Record<RefusalReason, number>> = {
    notReady: 503,
    leaving: 503,
    viewOutdated: 503,
    overloaded: 503,
    noTarget: 503,
    targetsLimited: 503,
    originUnknown: 503,
    versionUnavailable: 503,
    partQuarantined: 503,
    requestQuarantined: 503,
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

const NOT_RUN_STATUS = 503;

/** Refusal of a request that may have run: one that guarantees the opposite becomes one that guarantees nothing. */
export const withoutPromise = (refusal: RelayRefusal): RelayRefusal =>
    REFUSAL_STATUS[refusal.reason] === NOT_RUN_STATUS ? { reason: "targetFailed" } : refusal;
