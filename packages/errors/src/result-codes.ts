/** Whether the request that a result belongs to has run. */
export type Outcome = "not_run" | "unknown" | "done";

/** One numbered result. */
export interface ResultCode {
    readonly code: number;
    readonly name: string;
    /** HTTP status of the response to a caller or an operator. */
    readonly status: number;
    readonly outcome: Outcome;
    /** Default for Retry-After in seconds; undefined where a retry cannot help. */
    readonly retryAfterS: number | undefined;
    readonly meaning: string;
}

const defineCode = (
    code: number,
    name: string,
    status: number,
    outcome: Outcome,
    retryAfterS: number | undefined,
    meaning: string,
): ResultCode => ({ code, name, status, outcome, retryAfterS, meaning });

/** All numbered results; docs/result-codes.md is generated from this table. */
export const ResultCodes = {
    invalidSettings: defineCode(
        1001,
        "invalid_settings",
        400,
        "not_run",
        undefined,
        "The settings file is not valid; nothing was started.",
    ),
    invalidDocument: defineCode(
        1002,
        "invalid_document",
        422,
        "not_run",
        undefined,
        "The operators' document is not valid; nothing was applied.",
    ),
    documentConflict: defineCode(
        1003,
        "document_conflict",
        409,
        "not_run",
        undefined,
        "Another edit was accepted first; nothing was applied.",
    ),
    documentUnavailable: defineCode(
        1004,
        "document_unavailable",
        503,
        "not_run",
        5,
        "The key-value service cannot be reached; nothing was applied.",
    ),
    documentOutcomeUnknown: defineCode(
        1005,
        "document_outcome_unknown",
        504,
        "unknown",
        5,
        "The response was lost; retry with the same edit id to get the outcome.",
    ),
    badRequest: defineCode(2001, "bad_request", 400, "not_run", undefined, "The request is malformed."),
    unauthorized: defineCode(2002, "unauthorized", 401, "not_run", undefined, "The key is missing or unknown."),
    forbidden: defineCode(
        2003,
        "forbidden",
        403,
        "not_run",
        undefined,
        "No rule gives this team access to the offering.",
    ),
    notFound: defineCode(2004, "not_found", 404, "not_run", undefined, "There is no such path."),
    tooLarge: defineCode(2005, "too_large", 413, "not_run", undefined, "The request exceeds a size limit."),
    timeoutReading: defineCode(2006, "request_timeout", 408, "not_run", 1, "The request did not arrive in time."),
    keyReused: defineCode(
        2007,
        "key_reused",
        422,
        "not_run",
        undefined,
        "The idempotency key belongs to a different request.",
    ),
    budgetExhausted: defineCode(
        2101,
        "budget_exhausted",
        402,
        "not_run",
        undefined,
        "The worst-case cost of the request exceeds the remaining prepaid budget.",
    ),
    ledgerUnavailable: defineCode(
        2102,
        "ledger_unavailable",
        503,
        "not_run",
        2,
        "No grant is available at the moment.",
    ),
    copyUnavailable: defineCode(
        2103,
        "copy_unavailable",
        503,
        "not_run",
        2,
        "No copy holder acknowledged the request.",
    ),
    claimUnavailable: defineCode(
        2104,
        "claim_unavailable",
        503,
        "not_run",
        2,
        "No claim for the non-idempotent request can be acquired at the moment.",
    ),
    budgetReserved: defineCode(
        2105,
        "budget_reserved",
        429,
        "not_run",
        1,
        "The remaining prepaid budget is reserved by running requests.",
    ),
    overloaded: defineCode(2201, "overloaded", 429, "not_run", 1, "The queue is full or the deadline cannot be met."),
    noTarget: defineCode(2202, "no_target", 503, "not_run", 2, "No target of the offering is available."),
    leaving: defineCode(2203, "leaving", 503, "not_run", 1, "The instance is stopping; request the addresses again."),
    notReady: defineCode(2204, "not_ready", 503, "not_run", 2, "The instance has no current configuration."),
    outcomeUnknown: defineCode(
        3001,
        "outcome_unknown",
        502,
        "unknown",
        undefined,
        "The request may have run and is not repeated.",
    ),
    inProgressElsewhere: defineCode(
        3002,
        "in_progress_elsewhere",
        409,
        "unknown",
        2,
        "The request runs on another instance that cannot be reached; retry later.",
    ),
    alreadyCompleted: defineCode(
        3003,
        "already_completed",
        409,
        "done",
        undefined,
        "The request has run and is billed; its response is no longer stored.",
    ),
    targetFailed: defineCode(
        3004,
        "target_failed",
        502,
        "unknown",
        undefined,
        "The target failed after work had begun.",
    ),
    answerTooLarge: defineCode(
        3005,
        "answer_too_large",
        502,
        "done",
        undefined,
        "The request has run and is billed; its response exceeds a size limit.",
    ),
    kvUnavailable: defineCode(
        4001,
        "kv_unavailable",
        503,
        "not_run",
        2,
        "The key-value service did not accept the call.",
    ),
    kvOutcomeUnknown: defineCode(
        4002,
        "kv_outcome_unknown",
        504,
        "unknown",
        2,
        "The key-value service may have accepted the call.",
    ),
    peerUnavailable: defineCode(5001, "peer_unavailable", 503, "unknown", 1, "The other instance did not respond."),
    peerProtocol: defineCode(
        5002,
        "peer_protocol",
        400,
        "unknown",
        undefined,
        "The other instance violated the peer protocol.",
    ),
    incarnationClosed: defineCode(
        5003,
        "incarnation_closed",
        503,
        "not_run",
        1,
        "This incarnation was closed by its copy holder.",
    ),
    internal: defineCode(6001, "internal", 500, "unknown", undefined, "A fault in this process; see its log."),
} as const satisfies Record<string, ResultCode>;

/** Key of an entry in {@link ResultCodes}. */
export type ResultName = keyof typeof ResultCodes;
