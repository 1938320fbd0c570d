/** A kind of request to a fleet on the platform; `fixed` streams may not be resumed. */
export type PlatformCallKind = "plain" | "once" | "model" | "fixed" | "new";

/** How a call ended, as its caller saw it. */
export type CallEnd =
    /** A whole response came. */
    | "answered"
    /** The connection ended before that. */
    | "cut"
    /** No connection was made. */
    | "unreachable"
    /** The caller disconnected. */
    | "callerLeft"
    /** There was no whole response until the caller gave up, some time after its deadline. */
    | "overdue";

/** One request and what its caller saw; times are monotonic, in milliseconds. */
export interface PlatformCall {
    readonly kind: PlatformCallKind;
    readonly id: string;
    readonly promptTokens: number;
    /** Padding of the answer that was asked for. */
    readonly paddingBytes: number;
    /** Name of the instance. */
    readonly instance: string;
    readonly usedKeptConnection: boolean;
    /** Version in which the request was sent. */
    readonly httpVersion: "1.1" | "1.0";
    /** Whether the response tells its end without the end of the connection; true before its head. */
    readonly isFramed: boolean;
    /** Time for which the caller read nothing after the head of the response, in milliseconds. */
    readonly readPauseMs: number;
    readonly sentAtMs: number;
    /** When the last byte of the body was written. */
    readonly bodySentAtMs: number | undefined;
    /** When the head of the response came. */
    readonly headAtMs: number | undefined;
    readonly endedAtMs: number;
    readonly end: CallEnd;
    /** Undefined before the head of a response. */
    readonly status: number | undefined;
    readonly body: string;
    readonly retryAfterS: number | undefined;
    /** Call whose stream this one resumed; undefined for a first try. */
    readonly resumed: PlatformCall | undefined;
}

/** Addresses that an instance told a caller. */
export interface DirectoryAnswer {
    readonly instance: string;
    readonly askedAtMs: number;
    readonly atMs: number;
    readonly addresses: readonly string[];
}
