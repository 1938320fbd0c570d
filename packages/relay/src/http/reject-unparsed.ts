import { closeWithLinger } from "@ospreyreel/peer";
import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import type { RefusalReason } from "../relay-refusal.js";

const HTTP_BAD_REQUEST = 400;

const BAD_REQUEST_BODY = JSON.stringify({ error: "badRequest" satisfies RefusalReason });

/** Status for each error of the parser; 400 for all others. */
const STATUS_BY_CODE: Readonly<Record<string, number>> = {
    ERR_HTTP_REQUEST_TIMEOUT: 408,
    HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
    HPE_HEADER_OVERFLOW: 431,
};

/** Answers bytes that are no valid request and closes the connection; no other response may be open on it. */
export const rejectUnparsed = (socket: Socket, { code = "" }: NodeJS.ErrnoException): void => {
    const status = STATUS_BY_CODE[code] ?? HTTP_BAD_REQUEST;
    // Some builds of the parser reject what others leave to the port, so that both refuse it in the same words.
    const body = status === HTTP_BAD_REQUEST ? BAD_REQUEST_BODY : "";
    const content = body === "" ? "" : `Content-Type: application/json\r\nContent-Length: ${body.length}\r\n`;
    socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}\r\n${content}Connection: close\r\n\r\n${body}`);
    closeWithLinger(socket);
};
