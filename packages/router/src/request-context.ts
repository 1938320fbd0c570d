import type { Offering, Team } from "@ospreyreel/config";

/** A caller's request after validation. */
export interface RequestContext {
    readonly requestId: string;
    readonly team: Team;
    /** From Idempotency-Key, or the request id. */
    readonly requestKey: string;
    /** Whether the caller set the key, so that it may retry the request. */
    readonly keyed: boolean;
    /** Hash of path and body. */
    readonly fingerprint: string;
    readonly offering: Offering;
    readonly idempotent: boolean;
    /** Path and query at the target. */
    readonly targetPath: string;
    readonly method: string;
    /** Body for the target. */
    readonly body: Buffer;
    readonly contentType: string;
    /** Whether the target responds with server-sent events. */
    readonly stream: boolean;
    /** Whether the caller requested the usage event itself. */
    readonly wantsUsage: boolean;
    /** Worst case in tokens. */
    readonly worstCaseTokens: number;
    readonly priority: number;
    /** Time by which the first byte is due, in milliseconds since the epoch. */
    readonly deadlineMs: number;
    /** Hash of the prompt's beginning, for prefix affinity. */
    readonly prefixHash: string | undefined;
    /** Whether another instance forwarded the request; it is not forwarded again. */
    readonly forwarded: boolean;
}
