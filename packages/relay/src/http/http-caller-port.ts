import {
    ByteCollector,
    CallerGuard,
    type CallerGuardView,
    type CallerLimit,
    type ClosedConnection,
    discardInput,
    lingerOnClose,
    readDescriptorLimit,
    stopListening,
} from "@ospreyreel/peer";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setImmediate as nextTurn, setTimeout as sleep } from "node:timers/promises";
import type { CallerExchange } from "../caller-exchange.js";
import type { CallerBounds } from "../document/relay-document.js";
import type { ReturnedRequest, ServeHere } from "../handoff/handed-off-connection.js";
import { type HeldMessage, MessageMemory } from "../message-memory.js";
import { LEAVING_REFUSAL, type RelayRefusal, withoutPromise } from "../relay-refusal.js";
import type { RelayRequest } from "../relay-request.js";
import type { AcceptedConnection, ConnectionOrigin } from "./accepted-connection.js";
import { type CallerLimits, getCallerLimits } from "./caller-limits.js";
import type { CallerProtocol } from "./caller-protocol.js";
import { ExchangeCounts } from "./exchange-counts.js";
import { HttpCallerExchange } from "./http-caller-exchange.js";
import { IdleConnections } from "./idle-connections.js";
import { NewConnections } from "./new-connections.js";
import { PipelineOrder } from "./pipeline-order.js";
import { ReadRequests } from "./read-requests.js";
import { rejectUnparsed } from "./reject-unparsed.js";
import { hasTooManySmallParts } from "./small-parts.js";

/** Options of {@link HttpCallerPort}. */
export interface HttpCallerPortOptions {
    readonly host: string;
    readonly port: number;
    readonly protocol: CallerProtocol;
    /** Active limits; undefined before the first desired state. */
    readonly getBounds: () => CallerBounds | undefined;
    /** Serves one request; does not throw. */
    readonly serve: (req: RelayRequest, caller: CallerExchange) => Promise<void>;
    /** Hands a new connection off to a peer; returns whether it did. `serveHere` serves the connection at this port. */
    readonly handOff?: (socket: Socket, serveHere: ServeHere) => boolean;
    /** Whether callers' connections are closed after each response, since new ones are handed off. */
    readonly isHandingOff?: () => boolean;
    /** Oldest version of the desired state by which requests may be decided; any by default. */
    readonly getMinVersion?: () => number;
    /** Takes an error of the code that ended a request; its connection is closed unless the response was sent whole. */
    readonly onFailure?: (err: unknown) => void;
    /** Called for each request that is refused since its body was not read to its end. */
    readonly onBodyUnread?: (why: Exclude<UnreadBody, "cut">) => void;
    /** Limits on what callers hold; {@link getCallerLimits} without settings by default. */
    readonly limits?: CallerLimits;
    /** Called for each connection or request that one of the limits ends. */
    readonly onLimit?: (limit: CallerLimit) => void;
    /** Called for each connection that is closed since there are too many. */
    readonly onClose?: (closed: ClosedConnection) => void;
    /** Called for each request that is refused since there are too many connections. */
    readonly onCrowded?: () => void;
    /** Called for each request that was read whole and whose connection this process closed before its whole response was sent. */
    readonly onUnanswered?: (req: UnansweredRequest) => void;
}

/** A request that was read whole and has no whole response. */
export interface UnansweredRequest {
    readonly id: string;
    /** Whether its response had begun. */
    readonly hasBegun: boolean;
    /** Time since its first bytes arrived, in milliseconds. */
    readonly ageMs: number;
}

/**
 * Why a body was not read to its end: its caller has left, it is too large, other requests hold too much memory, its caller's time is over,
 * it brought nothing for too long, or the port accepts no more.
 */
type UnreadBody = "cut" | "too_large" | "no_room" | "timed_out" | "stalled" | "leaving";

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

/** Refusals of requests whose bodies are not read to their end. Where other bodies take too much memory, most requests end within a second. */
const UNREAD_BODY_REFUSALS: Readonly<Record<Exclude<UnreadBody, "cut">, RelayRefusal>> = {
    too_large: { reason: "bodyTooLarge" },
    no_room: { reason: "overloaded", retryAfterS: 1 },
    timed_out: { reason: "timedOutUnsent", retryAfterS: 0.5 },
    stalled: { reason: "timedOutUnsent", retryAfterS: 0.5 },
    leaving: LEAVING_REFUSAL,
};

/** Bytes on the wire that a head takes beyond its limit, which leaves out separators and spaces, and its request line. */
const HEAD_FRAMING_FACTOR = 2;
const REQUEST_LINE_BYTES = 4_096;

/** Descriptors that a connection takes which a peer serves. */
const HANDED_OFF_WEIGHT = 2;

/** Characters that the parser accepts in a path and the client of targets does not. */
const UNSENDABLE_PATH = /[^\x21-\xff]/;

/** The port for callers. */
export class HttpCallerPort {
    private readonly server: Server;
    private readonly order = new PipelineOrder();
    private isDraining = false;
    private hasStopped = false;
    /** Connections that have brought no request yet. */
    private readonly unused = new NewConnections();
    /** Each ends the reading of a body. */
    private readonly bodyReads = new Set<() => void>();
    private open = 0;
    private read = 0;
    private readOwn = 0;
    /** Connections that are closed after the response to a request that was read whole, or after a refusal. */
    private readonly closing = new WeakSet<Socket>();
    private readonly readWhole = new ReadRequests(socket => {
        if (this.closing.has(socket)) {
            socket.destroySoon();
        }
    });
    /** Connections that peers have handed off to this port. */
    private readonly origins = new WeakMap<Socket, ConnectionOrigin>();
    /** First requests of connections that came back from peers. */
    private readonly returned = new WeakMap<Socket, ReturnedRequest>();
    private readonly idle: IdleConnections;
    private readonly exchanges = new ExchangeCounts();
    private readonly memory: MessageMemory;
    private readonly guard: CallerGuard;
    private readonly serveConnection: (socket: Socket) => void;

    constructor(private readonly opts: HttpCallerPortOptions) {
        this.server = createServer({
            maxHeaderSize: MAX_PARSED_HEADER_BYTES,
            connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
            requestTimeout: 0,
            noDelay: true,
        });
        lingerOnClose(this.server);
        const limits = opts.limits ?? getCallerLimits({}, readDescriptorLimit());
        this.memory = new MessageMemory(limits.maxHeldBytes);
        this.guard = new CallerGuard({
            ...limits,
            getMaxHeadBytes: () => HEAD_FRAMING_FACTOR * this.bounds.maxHeaderBytes + REQUEST_LINE_BYTES,
            rejectHead: socket =>
                this.rejectUnparsed({ name: "Error", message: "", code: "HPE_HEADER_OVERFLOW" }, socket),
            onLimit: limit => opts.onLimit?.(limit),
            onClose: closed => opts.onClose?.(closed),
        });
        const listeners = this.server.listeners("connection") as unknown as readonly ((socket: Socket) => void)[];
        this.server.removeAllListeners("connection");
        this.serveConnection = socket => {
            this.unused.add(socket);
            listeners.forEach(listener => {
                listener.call(this.server, socket);
            });
            this.guard.follow(socket);
        };
        this.idle = new IdleConnections({
            serve: socket => {
                this.serveConnection(socket);
                socket.resume();
            },
            getIdleTimeoutMs: () => this.bounds.idleTimeoutMs,
        });
        this.server.on("connection", (socket: Socket) => {
            if (!this.guard.admit(socket, opts.isHandingOff?.() === true ? HANDED_OFF_WEIGHT : 1)) {
                return;
            }
            const serveHere = (returned?: ReturnedRequest): void => this.serveReturned(socket, returned);
            if (this.guard.isBeyondServed(socket) || opts.handOff?.(socket, serveHere) !== true) {
                this.guard.setWeight(socket, 1);
                this.serveConnection(socket);
            }
        });
        this.server.on("request", (req, res) => {
            this.guard.beginRequest(req);
            const held = this.memory.open();
            this.serve(req, res, held).catch((err: unknown) => {
                this.failRequest(req, res);
                this.opts.onFailure?.(err);
            }).finally(() => held.release());
        });
        this.server.on("clientError", (err: NodeJS.ErrnoException, socket: Socket) => {
            if (err.code === "ERR_HTTP_REQUEST_TIMEOUT") {
                void this.unlessRequestArrives(socket, () => this.rejectUnparsed(err, socket));
                return;
            }
            this.rejectUnparsed(err, socket);
        });
        this.server.on("timeout", (socket: Socket) => {
            void this.unlessRequestArrives(socket, () => {
                if (!this.readWhole.has(socket)) {
                    socket.destroy();
                }
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
        const { maxHeaderBytes, headerTimeoutMs, idleTimeoutMs } = this.bounds;
        // Node reads it for each new connection. The parser counts less of a head than the port, so that it rejects none that the port accepts.
        Object.assign(this.server, { maxHeaderSize: Math.min(MAX_PARSED_HEADER_BYTES, maxHeaderBytes + 1) });
        this.server.headersTimeout = headerTimeoutMs;
        this.server.keepAliveTimeout = idleTimeoutMs;
    }

    /** Serves a caller's connection that came through a peer. */
    accept(socket: Socket, origin: ConnectionOrigin): AcceptedConnection {
        this.origins.set(socket, origin);
        if (this.guard.admit(socket)) {
            this.serveConnection(socket);
        }
        return this.exchanges.watch(socket);
    }

    /** Starts closing callers' connections after each response. */
    drain(): void {
        this.isDraining = true;
    }

    /** Number of valid requests whose heads were read since the start, without those of connections from peers. */
    get ownRequests(): number {
        return this.readOwn;
    }

    /** Number of valid requests whose heads were read since the start. */
    get readRequests(): number {
        return this.read;
    }

    /**
     * Number of requests that are being read or served, or whose response is being sent. Once the port accepts no more,
     * connections that were opened a moment ago count as well: their request may be on its way.
     */
    get openExchanges(): number {
        return this.open + (this.hasStopped ? this.unused.count() : 0);
    }

    /** Bytes of the bodies of all open requests. */
    get heldRequestBytes(): number {
        return this.memory.heldBytes;
    }

    /** Connections and unfinished requests, for the state dump. */
    get guardView(): CallerGuardView {
        return this.guard.view;
    }

    /** Takes note that a peer serves a request of a connection that was handed off, or no longer. */
    countHandedOffExchange(socket: Socket, change: 1 | -1): void {
        this.guard.countExchange(socket, change);
    }

    /** Number of connections that were opened a moment ago and have brought no request yet. */
    get newConnections(): number {
        return this.unused.count();
    }

    /** Stops listening and refuses the requests that have not arrived whole; open connections are served on. */
    stopAccepting(): void {
        this.drain();
        this.hasStopped = true;
        stopListening(this.server);
        this.bodyReads.forEach(end => {
            end();
        });
    }

    /**
     * Stops accepting, waits up to `flushMs` milliseconds until the last responses are sent, and closes all connections.
     * Returns the number of responses that were not sent completely.
     */
    async close(flushMs: number): Promise<number> {
        this.stopAccepting();
        const endsAtMs = performance.now() + flushMs;
        while (this.openExchanges > 0 && performance.now() < endsAtMs) {
            await sleep(FLUSH_POLL_MS);
        }
        const unsent = this.open;
        this.server.close();
        this.server.closeAllConnections();
        this.idle.closeAll();
        this.guard.stop();
        return unsent;
    }

    /** Serves a connection that was not, or no longer, handed off. */
    private serveReturned(socket: Socket, returned: ReturnedRequest | undefined): void {
        this.guard.setWeight(socket, 1);
        if (returned !== undefined) {
            this.returned.set(socket, returned);
        }
        if (returned === undefined && socket.bytesRead > 0 && socket.readableLength === 0) {
            this.idle.add(socket);
            return;
        }
        this.serveConnection(socket);
        socket.resume();
    }

    private get bounds(): CallerBounds {
        return this.opts.getBounds() ?? DEFAULT_BOUNDS;
    }

    private countUntilClosed({ socket }: IncomingMessage, res: ServerResponse): void {
        this.open += 1;
        this.exchanges.add(socket, 1);
        this.guard.countExchange(socket, 1);
        let isOpen = true;
        const end = (): void => {
            socket.off("close", end);
            if (isOpen) {
                isOpen = false;
                this.open -= 1;
                this.exchanges.add(socket, -1);
                this.guard.countExchange(socket, -1);
            }
        };
        res.once("close", end);
        // A response that waits behind an earlier one on its connection does not see that connection close.
        socket.once("close", end);
    }

    private async serve(req: IncomingMessage, res: ServerResponse, held: HeldMessage): Promise<void> {
        const { socket } = req;
        const { arrivedAtMs = performance.now(), isInterrupted = false, hasRepeat = false } = this.returned.get(socket)
            ?? {};
        this.returned.delete(socket);
        this.unused.remove(socket);
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
            shouldCloseAfter: () =>
                this.closing.has(socket) || (this.shouldClose(socket) && this.order.isLast(socket, res)),
        });
        req.on("error", () => undefined);
        res.on("error", () => undefined);
        const { method = "", url = "", rawHeaders } = req;
        const headBytes = rawHeaders.reduce((sum, text) => sum + text.length + HEADER_SEPARATOR_BYTES, url.length);
        if (headBytes > this.bounds.maxHeaderBytes) {
            this.closeAfterResponse(socket);
            res.writeHead(HTTP_HEADERS_TOO_LARGE, { "Connection": "close" }).end();
            return;
        }
        if (this.guard.refusesHead(req)) {
            this.refuseUnread(req, caller, "no_room", isInterrupted);
            return;
        }
        if (this.guard.isBeyondServed(socket)) {
            this.opts.onCrowded?.();
            this.refuseUnread(req, caller, "no_room", isInterrupted);
            return;
        }
        const head = UNSENDABLE_PATH.test(url)
            ? undefined
            : protocol.decode({ method, target: url, rawHeaders, arrivedAtMs });
        if (head === undefined) {
            this.closeAfterResponse(socket);
            caller.refuse({ reason: "badRequest" });
            return;
        }
        const origin = this.origins.get(socket);
        this.read += 1;
        if (origin === undefined) {
            this.readOwn += 1;
        }
        origin?.recordRequest();
        const endsAtMs = head.waitsMs === undefined ? undefined : arrivedAtMs + head.waitsMs;
        const body = await this.readBody(req, held, endsAtMs);
        if (body === "cut") {
            res.destroy();
            return;
        }
        if (typeof body === "string") {
            this.refuseUnread(req, caller, body, isInterrupted);
            return;
        }
        this.readWhole.add(socket, res);
        this.watchAnswer(req, res, { id: head.id, arrivedAtMs });
        if (!await turn) {
            return;
        }
        await readPendingInput();
        const minVersion = Math.max(origin?.minVersion ?? 0, this.opts.getMinVersion?.() ?? 0);
        const handedOff = origin === undefined ? {} : { keepsVersion: true, handedOffBy: origin };
        await this.opts.serve({ ...head, body, minVersion, isInterrupted, hasRepeat, ...handedOff }, caller);
    }

    private watchAnswer(
        { socket }: IncomingMessage,
        res: ServerResponse,
        { id, arrivedAtMs }: { readonly id: string; readonly arrivedAtMs: number; },
    ): void {
        res.once("close", () => {
            const hasCallerLeft = socket.readableEnded || socket.errored !== null;
            if (!res.writableFinished && !hasCallerLeft) {
                const ageMs = performance.now() - arrivedAtMs;
                this.opts.onUnanswered?.({ id, hasBegun: res.headersSent, ageMs });
            }
        });
    }

    /** Refuses a request whose body was not read, and closes its connection. */
    private refuseUnread(
        req: IncomingMessage,
        caller: CallerExchange,
        why: Exclude<UnreadBody, "cut">,
        isInterrupted: boolean,
    ): void {
        this.closeAfterResponse(req.socket);
        this.opts.onBodyUnread?.(why);
        const refusal = UNREAD_BODY_REFUSALS[why];
        caller.refuse(isInterrupted ? withoutPromise(refusal) : refusal);
        req.resume();
        discardInput(req.socket);
    }

    /** Ends a request whose handling failed; what was sent of its response must not look complete. */
    private failRequest(req: IncomingMessage, res: ServerResponse): void {
        const { socket } = req;
        if (res.writableEnded) {
            return;
        }
        if (res.headersSent) {
            socket.resetAndDestroy();
            return;
        }
        // The request may have run.
        this.closeAfterResponse(socket);
        const { protocol } = this.opts;
        const caller = new HttpCallerExchange({ req, res, protocol, shouldCloseAfter: () => true });
        try {
            caller.refuse({ reason: "targetFailed" });
            req.resume();
        }
        catch {
            socket.resetAndDestroy();
        }
    }

    /** Closes a connection for a timer, unless a request has arrived: after a pause of the process timers run before pending reads. */
    private async unlessRequestArrives(socket: Socket, close: () => void): Promise<void> {
        const last = this.order.getLast(socket);
        await readPendingInput();
        if (this.order.getLast(socket) === last) {
            close();
        }
    }

    /** Ends a connection whose bytes are no valid request; a request that was read whole before them gets its response. */
    private rejectUnparsed(err: NodeJS.ErrnoException, socket: Socket): void {
        if (!socket.writable) {
            socket.destroy(err);
            return;
        }
        if (this.closing.has(socket)) {
            return;
        }
        this.closeAfterResponse(socket);
        if (!this.readWhole.has(socket)) {
            discardInput(socket);
            rejectUnparsed(socket, err);
        }
    }

    private closeAfterResponse(socket: Socket): void {
        this.closing.add(socket);
        this.guard.markClosing(socket);
    }

    /** Reads a body, as long as the port accepts requests and until a monotonic time in milliseconds. */
    private async readBody(
        req: IncomingMessage,
        held: HeldMessage,
        endsAtMs: number | undefined,
    ): Promise<Buffer | UnreadBody> {
        if (this.hasStopped) {
            return "leaving";
        }
        let stop = (): void => undefined;
        const stopped = new Promise<"leaving">(resolve => stop = () => resolve("leaving"));
        this.bodyReads.add(stop);
        let timer: NodeJS.Timeout | undefined;
        const timedOut = new Promise<"timed_out">(resolve => {
            if (endsAtMs !== undefined) {
                const end = (): void => void readPendingInput().then(() => resolve("timed_out"));
                timer = setTimeout(end, endsAtMs - performance.now());
            }
        });
        let stopReading: (why: "no_room" | "stalled") => void = () => undefined;
        const ended = new Promise<"no_room" | "stalled">(resolve => stopReading = resolve);
        const guarded = this.guard.beginBody(req, limit => {
            held.release();
            stopReading(limit === "progress" ? "stalled" : "no_room");
        });
        const tryHold = (bytes: number): boolean => {
            while (!held.tryResize(bytes)) {
                if (!this.guard.endSlowestBody(req.socket)) {
                    return false;
                }
            }
            guarded.record(bytes);
            return true;
        };
        try {
            return await Promise.race([readBody(req, tryHold, this.bounds.maxBodyBytes), stopped, timedOut, ended]);
        }
        finally {
            guarded.end();
            clearTimeout(timer);
            this.bodyReads.delete(stop);
        }
    }

    private shouldClose(socket: Socket): boolean {
        const origin = this.origins.get(socket);
        return this.isDraining || this.guard.isCrowded
            || (origin === undefined ? this.opts.isHandingOff?.() === true : origin.isLeaving);
    }
}

/** Colon, space and line end of a header, divided between its name and its value. */
const HEADER_SEPARATOR_BYTES = 2;

/**
 * Waits until what has arrived on a connection is read, and its end, which happens in the turn after its last bytes. Only
 * then is it visible that a caller disconnected while its connection waited to be accepted.
 */
const readPendingInput = async (): Promise<void> => {
    await nextTurn();
    await nextTurn();
};

const readBody = async (
    req: IncomingMessage,
    tryHold: (bytes: number) => boolean,
    maxBytes: number,
): Promise<Buffer | UnreadBody> => {
    const collected = new ByteCollector();
    let parts = 0;
    try {
        for await (const chunk of req.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
            parts += 1;
            if (collected.size + chunk.length > maxBytes || hasTooManySmallParts(parts, collected.size)) {
                return "too_large";
            }
            if (!tryHold(collected.size + chunk.length)) {
                return "no_room";
            }
            collected.add(chunk);
        }
    }
    catch {
        // The caller has disconnected, so no response is sent.
        return "cut";
    }
    return req.complete ? collected.take() : "cut";
};
