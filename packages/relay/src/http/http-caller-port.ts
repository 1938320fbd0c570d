import { lingerOnClose, stopListening } from "@ospreyreel/peer";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setImmediate as nextTurn, setTimeout as sleep } from "node:timers/promises";
import type { CallerExchange } from "../caller-exchange.js";
import type { CallerBounds } from "../document/relay-document.js";
import type { RelayRequest } from "../relay-request.js";
import type { CallerProtocol, DecodedHead } from "./caller-protocol.js";
import { HttpCallerExchange } from "./http-caller-exchange.js";
import { PipelineOrder } from "./pipeline-order.js";

/** Options of {@link HttpCallerPort}. */
export interface HttpCallerPortOptions {
    readonly host: string;
    readonly port: number;
    readonly protocol: CallerProtocol;
    /** Active limits; undefined before the first desired state. */
    readonly getBounds: () => CallerBounds | undefined;
    /** Serves one request; does not throw. */
    readonly serve: (req: RelayRequest, caller: CallerExchange) => Promise<void>;
    /** Takes an error of the code that ended a request; its connection is closed. */
    readonly onFailure?: (err: unknown) => void;
}

/** Limits before the first desired state. */
const DEFAULT_BOUNDS: CallerBounds = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
};

/** Maximum size of a head that the parser accepts, in bytes; the active limit is checked after parsing. */
const MAX_PARSED_HEADER_BYTES = 65_536;

/** Time between the parser's checks for slow heads, in milliseconds. */
const HEADER_CHECK_INTERVAL_MS = 1_000;

/** Interval in which a closing port checks whether all responses are sent, in milliseconds. */
const FLUSH_POLL_MS = 10;

const HTTP_HEADERS_TOO_LARGE = 431;

/** The port for callers. */
export class HttpCallerPort {
    private readonly server: Server;
    private readonly order = new PipelineOrder();
    private isDraining = false;
    private open = 0;
    private read = 0;
    /** Connections that are closed after a refusal. */
    private readonly closing = new WeakSet<Socket>();

    constructor(private readonly opts: HttpCallerPortOptions) {
        this.server = createServer({
            maxHeaderSize: MAX_PARSED_HEADER_BYTES,
            connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
            requestTimeout: 0,
            noDelay: true,
        });
        lingerOnClose(this.server);
        this.server.on("request", (req, res) => {
            this.serve(req, res).catch((err: unknown) => {
                // What has been sent of the response must not look complete.
                req.socket.resetAndDestroy();
                this.opts.onFailure?.(err);
            });
        });
        this.updateBounds();
    }

    /** Starts listening; throws if listening on the address fails. */
    async start(): Promise<void> {
        this.server.listen(this.opts.port, this.opts.host);
        await once(this.server, "listening");
    }

    /** The port number that is listened on. */
    get listenPort(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Applies the limits of the active desired state. */
    updateBounds(): void {
        const { headerTimeoutMs, idleTimeoutMs } = this.bounds;
        this.server.headersTimeout = headerTimeoutMs;
        this.server.keepAliveTimeout = idleTimeoutMs;
    }

    /** Starts closing callers' connections after each response. */
    drain(): void {
        this.isDraining = true;
    }

    /** Number of valid requests whose heads were read since the start. */
    get readRequests(): number {
        return this.read;
    }

    /** Number of requests that are being read or served, or whose response is being sent. */
    get openExchanges(): number {
        return this.open;
    }

    /**
     * Stops listening, waits up to `flushMs` milliseconds until the last responses are sent, and closes all connections.
     * Returns the number of responses that were not sent completely.
     */
    async close(flushMs: number): Promise<number> {
        this.drain();
        stopListening(this.server);
        const endsAtMs = performance.now() + flushMs;
        while (this.open > 0 && performance.now() < endsAtMs) {
            await sleep(FLUSH_POLL_MS);
        }
        const unsent = this.open;
        this.server.close();
        this.server.closeAllConnections();
        return unsent;
    }

    private get bounds(): CallerBounds {
        return this.opts.getBounds() ?? DEFAULT_BOUNDS;
    }

    private countUntilClosed({ socket }: IncomingMessage, res: ServerResponse): void {
        this.open += 1;
        let isOpen = true;
        const end = (): void => {
            socket.off("close", end);
            this.open -= isOpen ? 1 : 0;
            isOpen = false;
        };
        res.once("close", end);
        // A response that waits behind an earlier one on its connection does not see that connection close.
        socket.once("close", end);
    }

    private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const arrivedAtMs = performance.now();
        const { socket } = req;
        if (this.closing.has(socket) || !socket.writable) {
            // No response can be sent any more, so the request is not served.
            req.resume();
            return;
        }
        this.countUntilClosed(req, res);
        res.sendDate = false;
        const turn = this.order.waitForTurn(req.socket, res);
        const { protocol } = this.opts;
        const caller = new HttpCallerExchange({
            req,
            res,
            protocol,
            shouldCloseAfter: () => this.closing.has(socket) || (this.isDraining && this.order.isLast(socket, res)),
        });
        req.on("error", () => undefined);
        res.on("error", () => undefined);
        const { method = "", url = "", rawHeaders } = req;
        const headBytes = rawHeaders.reduce((sum, text) => sum + text.length + HEADER_SEPARATOR_BYTES, url.length);
        if (headBytes > this.bounds.maxHeaderBytes) {
            this.closing.add(socket);
            res.writeHead(HTTP_HEADERS_TOO_LARGE, { "Connection": "close" }).end();
            return;
        }
        const head = protocol.decode({ method, target: url, rawHeaders, arrivedAtMs });
        if (head === undefined) {
            this.closing.add(socket);
            caller.refuse({ reason: "badRequest" });
            return;
        }
        this.read += 1;
        const body = await readBody(req, this.bounds.maxBodyBytes);
        if (body === "cut") {
            res.destroy();
            return;
        }
        if (body === "too_large") {
            this.closing.add(socket);
            caller.refuse({ reason: "bodyTooLarge" });
            req.resume();
            return;
        }
        if (!await turn) {
            return;
        }
        await readPendingClose();
        await this.opts.serve(toRequest(head, body), caller);
    }
}

/** Colon, space and line end of a header, divided between its name and its value. */
const HEADER_SEPARATOR_BYTES = 2;

/**
 * Waits until the end of a connection can be read, which happens in the turn after its last bytes. Only then is it
 * visible that a caller disconnected while its connection waited to be accepted.
 */
const readPendingClose = async (): Promise<void> => {
    await nextTurn();
    await nextTurn();
};

const toRequest = (head: DecodedHead, body: Buffer): RelayRequest => ({ ...head, body });

const readBody = async (req: IncomingMessage, maxBytes: number): Promise<Buffer | "cut" | "too_large"> => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    try {
        for await (const chunk of req.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
            bytes += chunk.length;
            if (bytes > maxBytes) {
                return "too_large";
            }
            chunks.push(chunk);
        }
    }
    catch {
        // The caller has disconnected, so no response is sent.
        return "cut";
    }
    return req.complete ? Buffer.concat(chunks) : "cut";
};
