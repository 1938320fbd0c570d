import type { OperatorApi } from "@ospreyreel/config";
import type { ConsoleFile } from "@ospreyreel/console";
import { toOspreyError } from "@ospreyreel/errors";
import { lingerOnClose } from "@ospreyreel/peer";
import { discardBody, getErrorBody, getErrorHeaders, listen, readBody } from "@ospreyreel/router";
import type { Address } from "@ospreyreel/types";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";

/** Options of {@link OperatorServer}. */
export interface OperatorServerOptions {
    readonly address: Address;
    readonly api: OperatorApi;
    /** Files of the console's page by path; they contain no secrets and need no token. */
    readonly files: ReadonlyMap<string, ConsoleFile>;
}

const LIMITS = { maxBodyBytes: 8 * 1_048_576, bodyTimeoutMs: 10_000 };

/** The HTTP server for operators; the API checks the token of every request. */
export class OperatorServer {
    private readonly server: Server;

    constructor(private readonly opts: OperatorServerOptions) {
        this.server = createServer((req, res) => void this.serve(req, res));
        lingerOnClose(this.server);
    }

    /** Starts listening; returns the address with the actual port. */
    async start(): Promise<Address> {
        return await listen(this.server, this.opts.address);
    }

    /** Stops listening and ends all connections. */
    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.server.closeAllConnections();
        await closed;
    }

    private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
        try {
            const file = this.findFile(req);
            if (file !== undefined) {
                res.writeHead(200, { ...file.headers, "content-length": file.body.length });
                res.end(file.body);
                return;
            }
            const body = (await readBody(req, LIMITS)).toString("utf8");
            const { authorization } = req.headers;
            const response = await this.opts.api({
                method: req.method ?? "GET",
                url: req.url ?? "/",
                authorization,
                body,
            });
            const retryHeaders = response.retryAfterS === undefined
                ? {}
                : { "retry-after": String(Math.ceil(response.retryAfterS)) };
            res.writeHead(response.status, { "content-type": "application/json", ...retryHeaders });
            res.end(JSON.stringify(response.body));
        }
        catch (thrown) {
            const err = toOspreyError(thrown);
            res.writeHead(err.result.status, { ...getErrorHeaders(err, ""), connection: "close" });
            res.end(JSON.stringify(getErrorBody(err, "")));
            discardBody(req);
        }
    }

    private findFile({ method, url = "" }: IncomingMessage): ConsoleFile | undefined {
        const [path = ""] = url.split("?", 1);
        return method === "GET" || method === "HEAD" ? this.opts.files.get(path) : undefined;
    }
}
