/** How often a request may run, and how its answer comes. */
export type RequestKind = "idempotent" | "non_idempotent" | "streaming";

/** One service of a route with its share of the route's requests. */
export interface SplitShare {
    readonly service: string;
    /** Relative to the other shares; 0 or more. */
    readonly weight: number;
}

/** Where requests of a host and path go, and what may be done with them. */
export interface RelayRoute {
    readonly name: string;
    readonly host: string;
    /** Beginning of the path; begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RequestKind;
    /** Longest time a caller is kept waiting for the whole answer, in milliseconds. */
    readonly timeoutMs: number;
    /** Time to the first byte of a stream, or to the whole answer, that counts as on time; in milliseconds. */
    readonly latencyTargetMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** At least one share of a weight above 0. */
    readonly shares: readonly SplitShare[];
    /** Most targets to which one request may be sent. */
    readonly maxAttempts: number;
    /** Whether requests need no key. */
    readonly isPublic: boolean;
    /** Whether targets keep parts of prompts, so that requests with the same part should go to the same target. */
    readonly hasPromptAffinity: boolean;
    /** Whether a broken stream may go on at another target. */
    readonly isResumable: boolean;
    /** Longest pause between two events of a stream that counts as on time, in milliseconds. */
    readonly eventGapMs: number | undefined;
}

/** A group of targets that do the same work. */
export interface RelayService {
    readonly name: string;
    /** Most connections that one target accepts from all callers together. */
    readonly maxConnections: number;
    /** Tokens in one event of a stream; undefined where the service generates none. */
    readonly tokensPerEvent: number | undefined;
}

/** Bounds of what callers may send. */
export interface CallerBounds {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** Who pays, by which keys. */
export interface RelayTeam {
    readonly name: string;
    readonly keys: readonly string[];
    /** Comes before the priority of the route; 0 is the most urgent. */
    readonly priority: number | undefined;
    /** Tokens the team may use in all; undefined without a budget. */
    readonly prepaidTokens: number | undefined;
}

/** The operators' desired state, complete. */
export interface RelayDocument {
    /** Grows with each change, in uneven steps. */
    readonly version: number;
    readonly routes: readonly RelayRoute[];
    readonly services: readonly RelayService[];
    readonly bounds: CallerBounds;
    /** Undefined where requests need no key at all. */
    readonly teams: readonly RelayTeam[] | undefined;
}
