import type { IncomingMessage, ServerResponse } from "node:http";
import { json } from "node:stream/consumers";

/** Reads a request's body as JSON; an empty object where there is none. */
export const readJson = async (req: IncomingMessage): Promise<unknown> =>
    req.headers["content-length"] === "0" || req.method === "GET" ? {} : await json(req);

/** Answers with one JSON value. */
export const writeJson = (res: ServerResponse, status: number, body: unknown): void => {
    const text = JSON.stringify(body);
    res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    res.end(text);
};
