import type { SharedResponse } from "@ospreyreel/claims";
import { type OspreyError, toOspreyError } from "@ospreyreel/errors";
import { closeWithLinger } from "@ospreyreel/peer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { getErrorBody, getErrorHeaders } from "./error-body.js";
import { logCause } from "./log-cause.js";
import { discardBody } from "./read-body.js";
import { writeChunk } from "./write-chunk.js";

/** Writes an error response to a caller that has received nothing yet. */
export const writeError = (res: ServerResponse, err: OspreyError, requestId: string): void => {
    logCause(err, requestId);
    if (res.headersSent || res.destroyed) {
        res.destroy();
        return;
    }
    const body = Buffer.from(JSON.stringify(getErrorBody(err, requestId)));
    res.writeHead(err.result.status, { ...getErrorHeaders(err, requestId), "content-length": body.length });
    res.end(body);
};

/** Rejects a request whose body is incomplete, and closes the connection after the response. */
export const rejectUnread = (
    req: IncomingMessage,
    res: ServerResponse,
    err: OspreyError,
    requestId: string,
): void => {
    logCause(err, requestId);
    if (res.headersSent || res.destroyed) {
        res.destroy();
        return;
    }
    const body = Buffer.from(JSON.stringify(getErrorBody(err, requestId)));
    const headers = { ...getErrorHeaders(err, requestId), "content-length": body.length, connection: "close" };
    res.writeHead(err.result.status, headers);
    res.end(body);
    discardBody(req);
};

/** Writes an error response to bytes that are not a valid request and closes the connection. */
export const rejectUnparsed = (socket: Duplex, err: OspreyError, requestId: string): void => {
    logCause(err, requestId);
    const body = JSON.stringify(getErrorBody(err, requestId));
    const headers = {
        ...getErrorHeaders(err, requestId),
        "content-length": String(Buffer.byteLength(body)),
        "connection": "close",
    };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
    socket.write([`HTTP/1.1 ${err.result.status} ${err.result.name}`, ...lines, "", body].join("\r\n"));
    closeWithLinger(socket);
};

/** Streams a response as it arrives. An incomplete one destroys the connection, so that the caller sees no end mark. */
export const writeResponse = async (res: ServerResponse, answer: SharedResponse, requestId: string): Promise<void> => {
    try {
        const head = await answer.readHead();
        res.writeHead(head.status, { "x-request-id": requestId, ...head.headers });
        res.flushHeaders();
        for await (const chunk of answer.readBody()) {
            if (res.destroyed) {
                return;
            }
            await writeChunk(res, chunk);
        }
        res.end();
    }
    catch (err) {
        writeError(res, toOspreyError(err), requestId);
    }
};
