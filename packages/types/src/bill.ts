import type { StreamRef } from "./stream-ref.js";

/** The one charge for one request key. */
export interface Bill {
    /** Unique per team; from Idempotency-Key or generated. */
    readonly requestKey: string;
    readonly team: string;
    readonly budget: string;
    readonly offering: string;
    readonly promptTokens: number;
    readonly completionTokens: number;
    /** Incarnation that served the request. */
    readonly incarnation: string;
    /** Milliseconds since the epoch, by the server's clock; for reports only. */
    readonly finishedAtMs: number;
    /** Stream from which a caller's retry can read the response; undefined for plain services. */
    readonly stream?: StreamRef;
}
