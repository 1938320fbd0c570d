import { OspreyError } from "@ospreyreel/errors";
import type { Address } from "@ospreyreel/types";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Agent, request } from "undici";
import { type ForwardSignature, getSignedHeaders } from "./forward-signature.js";
import { writeChunk } from "./write-chunk.js";

/** Marks a request forwarded by an instance, so that it is not forwarded again; holds the signature. */
export const FORWARDED_HEADER = "x-ospreyreel-forwarded";

const RETURNED_HEADERS = [
    "content-type",
    "x-request-id",
    "x-ospreyreel-outcome",
    "retry-after",
    "x-should-retry",
] as const;
const CONNECT_TIMEOUT_MS = 1_000;

// The connection of an aborted request must not be reused by the next one.
const agent = new Agent({ pipelining: 0, connect: { timeout: CONNECT_TIMEOUT_MS } });

const isCertainlyUnsent = (err: unknown): boolean => {
    const code = (err as { readonly code?: string; }).code;
    return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT";
};

/** Result code where the connection fails after the request was sent. */
export type ForwardFailure = "outcomeUnknown" | "inProgressElsewhere";

/** A request to forward and where it goes. */
export interface ForwardInput {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    /** Path with query, as parsed: the request line may hold an absolute URL. */
    readonly path: string;
    readonly body: Buffer;
    readonly to: Address;
    /** Incarnation at that address. */
    readonly incarnation: string;
    readonly signature: ForwardSignature;
    readonly failure: ForwardFailure;
}

const getHeaders = ({ req, path, body, incarnation, signature }: ForwardInput): Record<string, string> => {
    const headers = getSignedHeaders(req);
    const value = signature.sign({ to: incarnation, method: req.method ?? "", path, headers, body });
    return { ...headers, [FORWARDED_HEADER]: value };
};

/**
 * Forwards a request to another instance and returns its response to the caller. Throws before anything was written:
 * `peerUnavailable` where nothing was sent, else the given failure. A later disconnect destroys the caller's
 * connection.
 */
export const forwardRequest = async (input: ForwardInput): Promise<void> => {
    const { req, res, path, body, to, failure } = input;
    const host = to.host.includes(":") ? `[${to.host}]` : to.host;
    const abort = new AbortController();
    res.once("close", () => abort.abort());
    const response = await request(`http://${host}:${to.port}${path}`, {
        dispatcher: agent,
        method: req.method as "POST",
        headers: getHeaders(input),
        ...(body.length === 0 ? {} : { body }),
        signal: abort.signal,
        headersTimeout: 0,
        bodyTimeout: 0,
    }).catch((err: unknown) => {
        const result = isCertainlyUnsent(err) ? "peerUnavailable" : failure;
        throw new OspreyError("the other instance did not respond", { result, cause: err });
    });
    for (const name of RETURNED_HEADERS) {
        const value = response.headers[name];
        if (value !== undefined) {
            res.setHeader(name, value);
        }
    }
    res.writeHead(response.statusCode);
    try {
        for await (const chunk of response.body as AsyncIterable<Buffer>) {
            await writeChunk(res, chunk);
        }
        res.end();
    }
    catch {
        res.destroy();
    }
};
