/** Whether a request may run more than once, and whether its response is a stream. */
export type RequestKind = "idempotent" | "non_idempotent" | "streaming";

/** One service of a route with its share of the route's requests. */
export interface SplitShare {
    readonly service: string;
    /** Relative to the other shares; 0 or more. */
    readonly weight: number;
}

/** Services and rules for requests with a host and path prefix. */
export interface RelayRoute {
    readonly name: string;
    readonly host: string;
    /** Beginning of the path; begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RequestKind;
    /** Maximum time to the complete response, in milliseconds. */
    readonly timeoutMs: number;
    /** Latency objective, in milliseconds: time to the first byte of a stream, or to the complete response. */
    readonly latencyTargetMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** At least one share of a weight above 0. */
    readonly shares: readonly SplitShare[];
    /** Maximum number of targets to which one request may be sent. */
    readonly maxAttempts: number;
    /** Whether requests need no key. */
    readonly isPublic: boolean;
    /** Whether targets cache prompt parts, so that requests with the same part should go to the same target. */
    readonly hasPromptAffinity: boolean;
    /** Whether an interrupted stream may be resumed at another target. */
    readonly isResumable: boolean;
    /** Objective for the maximum time between two events of a stream, in milliseconds. */
    readonly eventGapMs: number | undefined;
    /** Regions to whose targets requests may be sent; all where it is undefined. */
    readonly allowedRegions?: readonly string[] | undefined;
}

/** A group of targets that do the same work. */
export interface RelayService {
    readonly name: string;
    /** Maximum number of connections that one target accepts in total. */
    readonly maxConnections: number;
    /** Tokens in one event of a stream; undefined where the service generates none. */
    readonly tokensPerEvent: number | undefined;
    /** Requests a second that a cold target takes from all instances together; no limit where it is missing or 0. */
    readonly coldPerS?: number | undefined;
    /** Time for which a target is cold after its start, in milliseconds. */
    readonly coldStartMs?: number | undefined;
}

/** Limits for callers' requests and connections. */
export interface CallerBounds {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** A team, which pays for requests with its keys. */
export interface RelayTeam {
    readonly name: string;
    readonly keys: readonly string[];
    /** Overrides the priority of the route; 0 is the most urgent. */
    readonly priority: number | undefined;
    /** Total number of tokens that the team may use; undefined without a budget. */
    readonly prepaidTokens: number | undefined;
    /** Regions to whose targets its requests may be sent; all where it is undefined. */
    readonly allowedRegions?: readonly string[] | undefined;
}

/** The operators' desired state, complete. */
export interface RelayDocument {
    /** Increases with each change, not always by one. */
    readonly version: number;
    readonly routes: readonly RelayRoute[];
    readonly services: readonly RelayService[];
    readonly bounds: CallerBounds;
    /** Undefined where requests need no key at all. */
    readonly teams: readonly RelayTeam[] | undefined;
}
