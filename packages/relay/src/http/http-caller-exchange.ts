import type { IncomingMessage, ServerResponse } from "node:http";
import { type AnswerHead, CallerExchange } from "../caller-exchange.js";
import { REFUSAL_STATUS, type RelayRefusal } from "../relay-refusal.js";
import type { CallerProtocol } from "./caller-protocol.js";

/** What an exchange needs. */
export interface HttpCallerExchangeOptions {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly protocol: CallerProtocol;
    /** Whether the connection is to be closed after the answer. */
    readonly closesAfter: () => boolean;
}

/** A caller on an HTTP/1.1 connection. */
export class HttpCallerExchange extends CallerExchange {
    private readonly left = new AbortController();

    constructor(private readonly opts: HttpCallerExchangeOptions) {
        super();
        const { req, res } = opts;
        const leave = (): void => {
            if (!res.writableFinished) {
                this.left.abort();
            }
        };
        const { socket } = req;
        // The server answers nothing more on a connection whose other side has ended, and closes it some turns later.
        socket.once("end", leave);
        res.once("close", () => {
            socket.off("end", leave);
            leave();
        });
        req.once("aborted", leave);
    }

    override get gone(): AbortSignal {
        return this.left.signal;
    }

    override sendWhole(head: AnswerHead, body: Buffer): void {
        const framing = head.isFramed ? ["Content-Length", String(body.length)] : this.endWithConnection();
        this.opts.res.writeHead(head.status, [...head.headers.flat(), ...framing, ...this.getCloseHeader()]);
        this.opts.res.end(body);
    }

    override startStream(head: AnswerHead): void {
        const framing = head.isFramed ? ["Transfer-Encoding", "chunked"] : this.endWithConnection();
        this.opts.res.writeHead(head.status, [...head.headers.flat(), ...framing, ...this.getCloseHeader()]);
    }

    override sendEvents(events: Buffer): void {
        this.opts.res.write(events);
    }

    override endStream(): void {
        this.opts.res.end();
    }

    override breakStream(): void {
        this.opts.res.destroy();
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

    /** Lets the answer end with its connection; returns the headers for it. */
    private endWithConnection(): readonly string[] {
        this.opts.res.useChunkedEncodingByDefault = false;
        this.opts.res.shouldKeepAlive = false;
        return this.opts.closesAfter() ? [] : ["Connection", "close"];
    }

    private getCloseHeader(): readonly string[] {
        return this.opts.closesAfter() ? ["Connection", "close"] : [];
    }
}
