import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { CallerExchange } from "../caller-exchange.js";
import type { CallerBounds } from "../document/relay-document.js";
import type { RelayRequest } from "../relay-request.js";
import type { CallerProtocol, DecodedHead } from "./caller-protocol.js";
import { HttpCallerExchange } from "./http-caller-exchange.js";

/** What a callers' port needs. */
export interface HttpCallerPortOptions {
    readonly host: string;
    readonly port: number;
    readonly protocol: CallerProtocol;
    /** Bounds in force; undefined before the first desired state. */
    readonly getBounds: () => CallerBounds | undefined;
    /** Serves one request; does not throw. */
    readonly serve: (req: RelayRequest, caller: CallerExchange) => Promise<void>;
}

/** Bounds before the first desired state. */
const DEFAULT_BOUNDS: CallerBounds = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
};

/** Largest head that the parser takes, in bytes; the bound in force is checked after it. */
const PARSER_HEADER_BYTES = 65_536;

/** Time between the parser's checks for slow heads, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

const HTTP_HEADERS_TOO_LARGE = 431;

/** The port for callers. */
export class HttpCallerPort {
    private readonly server: Server;
    private closing = false;

    constructor(private readonly opts: HttpCallerPortOptions) {
        this.server = createServer({
            maxHeaderSize: PARSER_HEADER_BYTES,
            connectionsCheckingInterval: CHECK_INTERVAL_MS,
            requestTimeout: 0,
            noDelay: true,
        });
        this.server.on("request", (req, res) => void this.serve(req, res));
        this.updateBounds();
    }

    /** Starts listening; throws where the address can't be listened on. */
    async start(): Promise<void> {
        this.server.listen(this.opts.port, this.opts.host);
        await once(this.server, "listening");
    }

    /** Port that this one listens on. */
    get listenPort(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Takes the bounds of the desired state in force. */
    updateBounds(): void {
        const { headerTimeoutMs, idleTimeoutMs } = this.bounds;
        this.server.headersTimeout = headerTimeoutMs;
        this.server.keepAliveTimeout = idleTimeoutMs;
    }

    /** From now on asks callers to close their connections after each answer. */
    drain(): void {
        this.closing = true;
    }

    /** Stops listening and cuts what is still open. */
    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private get bounds(): CallerBounds {
        return this.opts.getBounds() ?? DEFAULT_BOUNDS;
    }

    private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const arrivedAtMs = performance.now();
        res.sendDate = false;
        const { protocol } = this.opts;
        const refused = { closes: false };
        const caller = new HttpCallerExchange({
            req,
            res,
            protocol,
            closesAfter: () => this.closing || refused.closes,
        });
        req.on("error", () => undefined);
        res.on("error", () => undefined);
        const { method = "", url = "", rawHeaders } = req;
        const headBytes = rawHeaders.reduce((sum, text) => sum + text.length + HEADER_SEPARATOR_BYTES, url.length);
        if (headBytes > this.bounds.maxHeaderBytes) {
            res.writeHead(HTTP_HEADERS_TOO_LARGE, { "Connection": "close" }).end();
            return;
        }
        const head = protocol.decode({ method, target: url, rawHeaders, arrivedAtMs });
        if (head === undefined) {
            refused.closes = true;
            caller.refuse({ reason: "badRequest" });
            return;
        }
        const body = await readBody(req, this.bounds.maxBodyBytes);
        if (body === "cut") {
            res.destroy();
            return;
        }
        if (body === "too_large") {
            refused.closes = true;
            caller.refuse({ reason: "bodyTooLarge" });
            return;
        }
        await readWhatFollows();
        await this.opts.serve(toRequest(head, body), caller);
    }
}

/** Colon, space and line end of a header, over its two parts. */
const HEADER_SEPARATOR_BYTES = 2;

/**
 * Lets the end of a connection be read, which comes in the turn after its last bytes. Callers that left while their
 * connection waited to be accepted show only then.
 */
const readWhatFollows = async (): Promise<void> => {
    await nextTurn();
    await nextTurn();
};

const toRequest = (head: DecodedHead, body: Buffer): RelayRequest => ({ ...head, body });

const readBody = async (req: IncomingMessage, maxBytes: number): Promise<Buffer | "cut" | "too_large"> => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    try {
        for await (const chunk of req as AsyncIterable<Buffer>) {
            bytes += chunk.length;
            if (bytes > maxBytes) {
                return "too_large";
            }
            chunks.push(chunk);
        }
    }
    catch {
        // The caller broke off; there is nobody to answer.
        return "cut";
    }
    return req.complete ? Buffer.concat(chunks) : "cut";
};
