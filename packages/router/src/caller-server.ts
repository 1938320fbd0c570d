import { OspreyError, toOspreyError } from "@ospreyreel/errors";
import { lingerOnClose, stopListening } from "@ospreyreel/peer";
import type { Counters } from "@ospreyreel/telemetry";
import type { Address } from "@ospreyreel/types";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import { CallerConnection } from "./caller-connection.js";
import { createRequestId } from "./get-request-context.js";
import { HeldBodies } from "./held-bodies.js";
import { listen } from "./listen.js";
import { type BodyLimits, readBody } from "./read-body.js";
import { StalledResponses } from "./stalled-responses.js";
import { rejectUnparsed, rejectUnread, writeError } from "./write-response.js";

/** A caller's request as passed to the handler. */
export interface CallerRequest {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly requestId: string;
    readonly path: string;
    /** Query string with its question mark, or empty. */
    readonly query: string;
    readonly body: Buffer;
}

/** Handles a caller's request. Throws errors with result codes only before anything was written. */
export type CallerHandler = (call: CallerRequest) => Promise<void>;

/** Limits of the port for callers; as in the settings. */
export interface CallerLimits extends BodyLimits {
    readonly maxHeldBytes: number;
    readonly maxHeaderBytes: number;
    readonly stallTimeoutMs: number;
}

/** Options of {@link CallerServer}. */
export interface CallerServerOptions {
    readonly address: Address;
    readonly limits: CallerLimits;
    /** Validates a request before its body is read. Throws errors with result codes. */
    readonly checkHead?: (req: IncomingMessage, path: string) => void;
    readonly handler: CallerHandler;
    readonly counters: Counters;
}

interface RejectedRequest {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly requestId: string;
    readonly connection: CallerConnection;
}

/** Interval in which a closing server checks whether all responses are sent, in milliseconds. */
const SENT_POLL_MS = 10;

const HEADERS_TIMEOUT_MS = 10_000;
const CHECK_INTERVAL_MS = 1_000;

/** Returns the error for bytes that the parser rejected or that arrived too slowly. */
const toParseError = (err: NodeJS.ErrnoException): OspreyError => {
    switch (err.code) {
        case "HPE_HEADER_OVERFLOW":
            return new OspreyError("the headers exceed the limit", { result: "tooLarge", cause: err });
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return new OspreyError("the headers arrived too slowly", { result: "timeoutReading", cause: err });
        default:
            return new OspreyError("the request is not HTTP/1.1", { result: "badRequest", cause: err });
    }
};

/** HTTP server for callers: limits what is read, assigns request ids and writes error responses. */
export class CallerServer {
    private readonly server: Server;
    private readonly connections = new WeakMap<Duplex, CallerConnection>();
    private readonly stalledResponses: StalledResponses;
    private readonly heldBodies: HeldBodies;
    private closing = false;
    /** Responses that are not sent completely. */
    private openResponses = 0;

    constructor(private readonly opts: CallerServerOptions) {
        const { maxHeaderBytes, stallTimeoutMs } = opts.limits;
        this.heldBodies = new HeldBodies(opts.limits.maxHeldBytes);
        this.server = createServer({
            maxHeaderSize: maxHeaderBytes,
            headersTimeout: HEADERS_TIMEOUT_MS,
            requestTimeout: 0,
            connectionsCheckingInterval: CHECK_INTERVAL_MS,
        });
        // A caller may half-close the connection after its request and still wait for the response.
        Object.assign(this.server, { httpAllowHalfOpen: true });
        lingerOnClose(this.server);
        this.stalledResponses = new StalledResponses({
            stallTimeoutMs,
            onStall: () => opts.counters.add("caller_answers_stalled"),
        });
        this.server.on("request", (req, res) => void this.serve(req, res));
        this.server.on("checkExpectation", (req: IncomingMessage, res: ServerResponse) => void this.serve(req, res));
        this.server.on("clientError", (err: NodeJS.ErrnoException, socket) => this.rejectUnparsed(err, socket));
    }

    /** Starts listening; returns the address with the port actually bound. */
    async start(): Promise<Address> {
        return await listen(this.server, this.opts.address);
    }

    /** Sends `connection: close` with each response from now on. */
    drain(): void {
        this.closing = true;
    }

    /** Stops listening; resolves when the last connection is closed. */
    async close(): Promise<void> {
        this.drain();
        const closed = once(this.server, "close");
        stopListening(this.server);
        while (this.openResponses > 0) {
            await sleep(SENT_POLL_MS);
        }
        this.server.closeIdleConnections();
        await closed;
        this.stalledResponses.close();
    }

    private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const connection = this.getConnection(req.socket);
        if (connection.closing) {
            // No response can be sent any more, so the request is not run.
            req.resume();
            return;
        }
        const requestId = createRequestId();
        const openRequest = connection.add(res);
        const heldBody = this.heldBodies.open();
        this.stalledResponses.add(res);
        this.openResponses += 1;
        res.once("close", () => this.openResponses -= 1);
        this.opts.counters.add("caller_requests");
        if (this.closing) {
            connection.closing = true;
            res.setHeader("connection", "close");
        }
        try {
            const url = this.getUrl(req);
            this.opts.checkHead?.(req, url.pathname);
            const body = await readBody(req, this.opts.limits, bytes => heldBody.acquire(bytes));
            openRequest.isBodyComplete = true;
            await this.opts.handler({ req, res, requestId, path: url.pathname, query: url.search, body });
        }
        catch (thrown) {
            heldBody.release();
            this.reject({ req, res, requestId, connection }, toOspreyError(thrown));
        }
        finally {
            heldBody.release();
        }
    }

    private reject({ req, res, requestId, connection }: RejectedRequest, err: OspreyError): void {
        this.opts.counters.add(`caller_errors.${err.result.name}`);
        if (connection.isRejected) {
            return;
        }
        if (req.complete) {
            // The body is still unread if `checkHead` rejected the request.
            req.resume();
            writeError(res, err, requestId);
            return;
        }
        // The unread remainder of the body must not be parsed as the next request.
        connection.closing = true;
        rejectUnread(req, res, err, requestId);
    }

    private rejectUnparsed(cause: NodeJS.ErrnoException, socket: Duplex): void {
        const connection = this.getConnection(socket);
        if (connection.isRejected || !socket.writable) {
            return;
        }
        if (!connection.canReject) {
            if (!connection.closing) {
                socket.destroy();
            }
            return;
        }
        const err = toParseError(cause);
        this.opts.counters.add(`caller_errors.${err.result.name}`);
        connection.closing = true;
        connection.isRejected = true;
        rejectUnparsed(socket, err, createRequestId());
    }

    private getConnection(socket: Duplex): CallerConnection {
        const known = this.connections.get(socket);
        if (known !== undefined) {
            return known;
        }
        const connection = new CallerConnection();
        socket.once("close", () => connection.closeQueuedResponses());
        this.connections.set(socket, connection);
        return connection;
    }

    private getUrl(req: IncomingMessage): URL {
        try {
            return new URL(req.url ?? "/", "http://caller");
        }
        catch (err) {
            throw new OspreyError("the path is malformed", { result: "badRequest", cause: err });
        }
    }
}
