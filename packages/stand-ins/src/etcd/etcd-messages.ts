/** Requests and answers of the JSON gateway, as far as the stand-in knows them. Keys and values are base64. */
export interface RangeRequest {
    readonly key: string;
    readonly range_end?: string;
    readonly limit?: string | number;
}

/** Writes one key. */
export interface PutRequest {
    readonly key: string;
    readonly value?: string;
    readonly lease?: string;
}

/** Deletes a key or a range. */
export interface DeleteRangeRequest {
    readonly key: string;
    readonly range_end?: string;
}

/** Holds if the key was last changed at the revision; the stand-in knows MOD and EQUAL only. */
export interface CompareRequest {
    readonly key: string;
    readonly target?: string;
    readonly result?: string;
    readonly mod_revision?: string | number;
}

/** One operation of a transaction. */
export interface RequestOp {
    readonly request_range?: RangeRequest;
    readonly request_put?: PutRequest;
    readonly request_delete_range?: DeleteRangeRequest;
}

/** One atomic call. */
export interface TxnRequest {
    readonly compare?: readonly CompareRequest[];
    readonly success?: readonly RequestOp[];
    readonly failure?: readonly RequestOp[];
}

/** Opens a watch. */
export interface WatchRequest {
    readonly create_request: RangeRequest;
}

/** A refusal with its gRPC status code. */
export class EtcdRefusal extends Error {
    readonly code: number;

    constructor(code: number, message: string) {
        super(message);
        this.code = code;
    }
}

const HTTP_STATUS: Readonly<Record<number, number>> = { 3: 400, 5: 404, 8: 429, 12: 501, 14: 503 };

/** HTTP status that the gateway gives to a gRPC status code. */
export const toHttpStatus = (code: number): number => HTTP_STATUS[code] ?? 500;
