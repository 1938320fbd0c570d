import {
    CallerGuard,
    type CallerGuardView,
    type CallerLimit,
    type ClosedConnection,
    discardInput,
    lingerOnClose,
    readDescriptorLimit,
} from "@ospreyreel/peer";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { type CallerLimits, getCallerLimits } from "./caller-limits.js";

/** Response of a status port. */
export interface StatusPortResponse {
    readonly status: number;
    readonly contentType?: string;
    readonly body?: string;
}

/** Options of {@link StatusPort}. */
export interface StatusPortOptions {
    readonly host: string;
    readonly port: number;
    readonly answer: (method: string, url: URL) => StatusPortResponse | Promise<StatusPortResponse>;
    /** Limits on what callers hold; {@link getCallerLimits} without settings by default. */
    readonly limits?: CallerLimits;
    /** Called for each connection that one of the limits closes. */
    readonly onLimit?: (limit: CallerLimit) => void;
    /** Called for each connection that is closed since there are too many. */
    readonly onClose?: (closed: ClosedConnection) => void;
}

/** Maximum size of a head, in bytes. */
const MAX_HEADER_BYTES = 16_384;

/** Maximum size of a head on the wire, with separators and spaces that the parser does not count, in bytes. */
const MAX_HEAD_WIRE_BYTES = 3 * MAX_HEADER_BYTES;

/** Time in which a head must arrive, and time between the checks for it, in milliseconds. */
const HEADERS_TIMEOUT_MS = 5_000;
const HEADER_CHECK_INTERVAL_MS = 1_000;

/** Share of the limit on unfinished requests at the callers' port; heads of checks arrive at once. */
const READING_SHARE = 1 / 8;

const HTTP_BAD_REQUEST = 400;
const HTTP_INTERNAL = 500;

/** HTTP port for readiness checks, the directory, metrics and the state dump. */
export class StatusPort {
    private readonly server: Server;
    private readonly guard: CallerGuard;

    constructor(private readonly opts: StatusPortOptions) {
        const limits = opts.limits ?? getCallerLimits({}, readDescriptorLimit());
        this.guard = new CallerGuard({
            maxConnections: limits.maxStatusConnections,
            maxReadingBytes: limits.maxReadingBytes * READING_SHARE,
            progressTimeoutMs: limits.progressTimeoutMs,
            getMaxHeadBytes: () => MAX_HEAD_WIRE_BYTES,
            rejectHead: socket => socket.destroy(),
            onLimit: limit => opts.onLimit?.(limit),
            onClose: closed => opts.onClose?.(closed),
        });
        this.server = createServer({
            maxHeaderSize: MAX_HEADER_BYTES,
            headersTimeout: HEADERS_TIMEOUT_MS,
            connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
        });
        lingerOnClose(this.server);
        this.server.prependListener("connection", (socket: Socket) => void this.guard.admit(socket));
        this.server.on("connection", (socket: Socket) => this.guard.follow(socket));
        this.server.on("request", (req, res) => this.serve(req, res));
    }

    private serve(req: IncomingMessage, res: ServerResponse): void {
        const { socket } = req;
        this.guard.beginRequest(req);
        this.guard.countExchange(socket, 1);
        res.once("close", () => this.guard.countExchange(socket, -1));
        req.on("error", () => undefined).resume();
        this.answer(req).catch(() => ({ status: HTTP_INTERNAL })).then(
            ({ status, contentType = "text/plain", body = "" }: StatusPortResponse) => {
                if (!req.complete) {
                    // No request here has a body.
                    res.setHeader("Connection", "close");
                    this.guard.markClosing(socket);
                    discardInput(socket);
                }
                res.writeHead(status, { "Content-Type": contentType, "Content-Length": Buffer.byteLength(body) })
                    .end(body);
            },
        ).catch(() => res.destroy());
    }

    /** Connections and unfinished requests, for the state dump. */
    get guardView(): CallerGuardView {
        return this.guard.view;
    }

    private async answer({ method = "", url = "/" }: IncomingMessage): Promise<StatusPortResponse> {
        const target = `http://instance${url}`;
        return URL.canParse(target) ? await this.opts.answer(method, new URL(target)) : { status: HTTP_BAD_REQUEST };
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

    /** Stops listening and closes all open connections. */
    close(): void {
        this.server.close();
        this.server.closeAllConnections();
        this.guard.stop();
    }
}
