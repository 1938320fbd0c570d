import { destroyAfterFlush } from "@ospreyreel/peer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { CallerExchange, type ResponseHead } from "../caller-exchange.js";
import { REFUSAL_STATUS, type RelayRefusal } from "../relay-refusal.js";
import type { CallerProtocol } from "./caller-protocol.js";
import { waitForDrain } from "./wait-for-drain.js";

/** Statuses of responses that have no body and no length. */
const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

const CHUNKED = ["Transfer-Encoding", "chunked"] as const;

/** Size of a response that the kernel takes at once on a new connection, in bytes. */
const SEND_BUFFER_BYTES = 16_384;

/** Maximum time in which a caller reads nothing of a complete response, in milliseconds. */
const STALL_TIMEOUT_MS = 30_000;

/** Options of {@link HttpCallerExchange}. */
export interface HttpCallerExchangeOptions {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly protocol: CallerProtocol;
    /** Whether the connection is to be closed after the response. */
    readonly shouldCloseAfter: () => boolean;
}

/** A caller on an HTTP/1.1 connection. */
export class HttpCallerExchange extends CallerExchange {
    private readonly disconnect = new AbortController();
    /** Whether the target's response has no framing, so that an early end is told by a reset as well. */
    private isUnframed = false;

    constructor(private readonly opts: HttpCallerExchangeOptions) {
        super();
        const { req, res } = opts;
        const onDisconnect = (): void => {
            if (!res.writableFinished) {
                this.disconnect.abort();
            }
        };
        const { socket } = req;
        // The server sends no response on a connection that the caller has half-closed, and closes it some turns later, in order.
        const onEnd = (): void => {
            if (this.isUnframed && !res.writableFinished) {
                socket.resetAndDestroy();
            }
            onDisconnect();
        };
        socket.prependOnceListener("end", onEnd);
        res.once("close", () => {
            socket.off("end", onEnd);
            onDisconnect();
        });
        req.once("aborted", onDisconnect);
    }

    override get disconnectSignal(): AbortSignal {
        return this.disconnect.signal;
    }

    override sendResponse(head: ResponseHead, body: Buffer): Promise<void> {
        const { res } = this.opts;
        const length = NO_BODY_STATUSES.has(head.status) ? [] : ["Content-Length", String(body.length)];
        const framing = head.isFramed ? length : this.frameUnframed(body.length <= SEND_BUFFER_BYTES);
        res.writeHead(head.status, [...head.headers.flat(), ...framing, ...this.getCloseHeader()]);
        if (res.destroyed) {
            return Promise.resolve();
        }
        const ended = new Promise<void>(resolve => res.once("close", () => resolve()));
        res.setTimeout(STALL_TIMEOUT_MS, () => res.destroy());
        res.end(body);
        return ended;
    }

    override startStream(head: ResponseHead): void {
        const framing = head.isFramed && this.canReadChunks ? CHUNKED : this.frameUnframed();
        this.opts.res.writeHead(head.status, [...head.headers.flat(), ...framing, ...this.getCloseHeader()]);
    }

    override async sendEvents(events: Buffer, signal: AbortSignal): Promise<void> {
        const { res } = this.opts;
        if (!res.write(events) && !res.destroyed && !signal.aborted) {
            await waitForDrain(res, signal);
        }
    }

    override endStream(): void {
        this.opts.res.end();
    }

    override abortStream(): void {
        // After an ordinary close an unframed response would look complete.
        destroyAfterFlush(this.opts.req.socket, { withReset: this.isUnframed });
    }

    override refuse(refusal: RelayRefusal): void {
        const { res, protocol } = this.opts;
        if (res.headersSent || res.destroyed) {
            res.destroy();
            return;
        }
        const body = Buffer.from(JSON.stringify({ error: refusal.reason }));
        res.writeHead(REFUSAL_STATUS[refusal.reason], [
            ...protocol.encodeRefusal(refusal),
            "Content-Type",
            "application/json",
            "Content-Length",
            String(body.length),
            ...this.getCloseHeader(),
        ]);
        res.end(body);
    }

    /**
     * Returns the headers of a response that its target has not framed. In chunks it does not look complete where this process ends
     * before it, as the kernel closes its connections in order. One that is sent at once keeps the form that its target gave it.
     */
    private frameUnframed(isSentAtOnce = false): readonly string[] {
        const { req, res, shouldCloseAfter } = this.opts;
        this.isUnframed = true;
        if (!isSentAtOnce && this.canReadChunks && req.method !== "HEAD") {
            return CHUNKED;
        }
        res.useChunkedEncodingByDefault = false;
        res.shouldKeepAlive = false;
        return shouldCloseAfter() ? [] : ["Connection", "close"];
    }

    private get canReadChunks(): boolean {
        return this.opts.req.httpVersion === "1.1";
    }

    private getCloseHeader(): readonly string[] {
        return this.opts.shouldCloseAfter() ? ["Connection", "close"] : [];
    }
}
