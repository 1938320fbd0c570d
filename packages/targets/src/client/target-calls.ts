import type { IncomingHttpHeaders } from "node:http";

/** Name and address of a target. */
export interface TargetRef {
    readonly name: string;
    /** Base URL by IP number, without a path. */
    readonly url: string;
}

/** Options of every exchange with a target. */
export interface TargetExchange {
    readonly target: TargetRef;
    /** Sent as X-Request-Id; the target echoes it. */
    readonly streamId: string;
    readonly signal?: AbortSignal | undefined;
    /** Timeout of the response headers, in milliseconds. */
    readonly headersTimeoutMs?: number;
    /** Maximum time without data within the body, in milliseconds. */
    readonly bodyTimeoutMs?: number;
}

/** A request whose response is read whole. */
export interface TargetCall extends TargetExchange {
    readonly method?: "GET" | "HEAD" | "POST" | "PUT" | "PATCH" | "DELETE";
    /** Path with query. */
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | Uint8Array | undefined;
}

/** A request whose response is a stream of events. */
export interface TargetStreamCall extends TargetExchange {
    readonly path: string;
    readonly body: string;
    readonly headers?: Readonly<Record<string, string>>;
}

/** Options for resuming a stream from an event. */
export interface TargetResume extends TargetExchange {
    /** Number of the first event to return, from 1. */
    readonly from: number;
    /** The event before `from`, which is read again and compared to detect another stream under the same id. */
    readonly lastSeen?: TargetEvent | undefined;
}

/** One server-sent event. */
export interface TargetEvent {
    /** Position in the stream, from 1, without gaps. */
    readonly id: number;
    readonly data: string;
}

/** A whole response. */
export interface TargetResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}

/** A response that is read event by event; `events` throws where the stream ends without its end mark. */
export interface TargetStream {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    /** Empty unless the status is 200. */
    readonly events: AsyncIterable<TargetEvent>;
    /** Body of a response whose status is not 200; empty otherwise. */
    readonly errorBody: Buffer;
}

/** An engine's record of one of its runs. */
export interface StreamRecord {
    readonly id: string;
    readonly state: "queued" | "running" | "done" | "cancelled";
    readonly promptTokens: number;
    readonly completionTokens: number;
}

/** Data of the event that ends a complete stream. */
export const END_MARK = "[DONE]";
