import type { InstanceInfo, VersionedDocument } from "@ospreyreel/types";
import type { DocumentReview } from "../document/review-document.js";

/** A request to the operator port, with its whole body. */
export interface OperatorRequest {
    readonly method: string;
    /** Path and query. */
    readonly url: string;
    /** Value of the Authorization header. */
    readonly authorization: string | undefined;
    readonly body: string;
}

/** Response of the operator port; the body is sent as JSON. */
export interface OperatorResponse {
    readonly status: number;
    /** Unit: seconds. */
    readonly retryAfterS?: number | undefined;
    readonly body: unknown;
}

/** Body of an error response. */
export interface OperatorErrorBody {
    readonly error: {
        readonly code: number;
        readonly name: string;
        readonly message: string;
        readonly details: readonly string[];
    };
}

/** Body of `POST /operator/v1/check`. */
export interface CheckResponse extends DocumentReview {
    /** Revision that the text was compared with; 0 where there is none. */
    readonly baseRevision: number;
}

/** One entry of `GET /operator/v1/history`. */
export type HistoryEntry = Omit<VersionedDocument, "text">;

/** Body of `GET /operator/v1/history`, the latest revision first. */
export interface HistoryResponse {
    readonly history: readonly HistoryEntry[];
}

/** Body of `GET /operator/v1/status`. */
export interface StatusResponse {
    readonly self: InstanceInfo;
    /** Other instances, as of their last heartbeats. */
    readonly peers: readonly InstanceInfo[];
    /** Whether the instance has an active document. */
    readonly ready: boolean;
    /** Whether the instance has had no contact to the KV service or any peer for longer than `staleAfterS`. */
    readonly stale: boolean;
}
