import type { Address } from "@ospreyreel/types";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** Answers one request; a rejection becomes status 500. */
export type JsonHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void>;

/** Where a stand-in listens. */
export interface JsonServerOptions {
    readonly host?: string;
    /** 0, the default, takes a free port. */
    readonly port?: number;
}

/** A listening server; closing it destroys open connections. */
export interface JsonServer {
    readonly address: Address;
    readonly url: string;
    readonly close: () => Promise<void>;
    /** Destroys open connections and goes on listening. */
    readonly cutConnections: () => void;
}

const KEEP_ALIVE_MS = 60_000;

/** Writes a whole JSON answer. */
export const sendJson = (
    res: ServerResponse,
    status: number,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
): void => {
    res.writeHead(status, { "content-type": "application/json", ...headers });
    res.end(JSON.stringify(body));
};

/** Reads a whole body as text. */
export const readText = async (req: IncomingMessage): Promise<string> => {
    const parts: Buffer[] = [];
    for await (const part of req) {
        parts.push(part as Buffer);
    }
    return Buffer.concat(parts).toString("utf8");
};

/** Parses JSON; `undefined` for text that is none. */
export const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
};

const closeServer = (server: Server): Promise<void> =>
    new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
    });

/** Listens on a loopback address and resolves once connections are taken. */
export const startJsonServer = async (handler: JsonHandler, opts: JsonServerOptions = {}): Promise<JsonServer> => {
    const { host = "127.0.0.1", port = 0 } = opts;
    const server = createServer((req, res) => {
        handler(req, res).catch((err: unknown) => {
            if (res.headersSent) {
                res.destroy();
            }
            else {
                sendJson(res, 500, { error: { message: String(err) } });
            }
        });
    });
    server.keepAliveTimeout = KEEP_ALIVE_MS;
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
    const bound = server.address() as AddressInfo;
    return {
        address: { host, port: bound.port },
        url: `http://${host}:${bound.port}`,
        close: () => closeServer(server),
        cutConnections: () => server.closeAllConnections(),
    };
};
