import { ByteCollector, closeWithLinger, destroyAfterFlush } from "@ospreyreel/peer";
import { wasReset } from "@ospreyreel/targets";
import type { Socket } from "node:net";
import type { RequestHead } from "../http/caller-protocol.js";
import type { HeldMessage, MessageMemory } from "../message-memory.js";
import { MessageReader } from "./message-reader.js";

/** What the active desired state says of a request. */
export interface RequestTerms {
    /** Acquires one repeat at this instance; false where the request may not be repeated, or no repeat is left. */
    readonly acquireRepeat: () => boolean;
    /** Monotonic time at which its response is due, in milliseconds. */
    readonly endsAtMs: number;
}

/** The open request of a connection that comes back from a helper. */
export interface ReturnedRequest {
    /** Monotonic time at which its first bytes arrived, in milliseconds. */
    readonly arrivedAtMs: number;
    /** Whether the helper may have sent it to a target. */
    readonly isInterrupted: boolean;
    /** Whether a repeat was acquired for it. */
    readonly hasRepeat: boolean;
}

/** Serves a caller's connection at this instance, with its open request if there is one. */
export type ServeHere = (returned?: ReturnedRequest) => void;

/**
 * How a connection stopped being served by a helper: `closed` in order, `returned` to be served here, with an open request if
 * `interrupted`, or `cut` in the middle of a response.
 */
export type HandoffEnd = "closed" | "returned" | "interrupted" | "cut";

/** Options of {@link HandedOffConnection}. */
export interface HandedOffConnectionOptions {
    /** The caller's connection. */
    readonly caller: Socket;
    /** Connection to the helper that serves the caller. */
    readonly helper: Socket;
    /** Finds what holds for a request; undefined where that is not known. */
    readonly getTerms: (head: RequestHead) => RequestTerms | undefined;
    /**
     * Resolves whether the helper's process lives, so that it has closed its connection on purpose; does not reject. After a crash
     * a response that ends with its connection would look complete.
     */
    readonly confirmEnd: () => Promise<boolean>;
    readonly serveHere: ServeHere;
    /** Whether this instance stops, so that connections without a request are closed. */
    readonly isStopping: () => boolean;
    /** Memory for open requests that may have to be served here. */
    readonly memory: MessageMemory;
    /** Called when a request begins that the helper serves, and when it ends. */
    readonly onExchange?: (change: 1 | -1) => void;
    /** Called for a request that is too large to be held, so that it can't be served here. */
    readonly onNotHeld?: () => void;
    /** Called once. */
    readonly onEnd: (end: HandoffEnd) => void;
}

/** Maximum size of what arrives behind an open request before the caller is no longer read, in bytes. */
const MAX_QUEUED_BYTES = 65_536;

/** Time after the end of a request's time in which the helper may still end the response, in milliseconds. */
const LATE_END_MS = 1_000;

/** Time for which a begun response is waited for where the time of its request is not known, in milliseconds. */
const UNKNOWN_TIME_MS = 30_000;

/** Statuses below this one announce another response to the same request. */
const FINAL_STATUS_FROM = 200;

/**
 * Copies bytes between a caller and its helper, one request at a time, and follows where requests and responses begin and end. So the caller's connection
 * can be served here again between two requests, and a request whose helper is gone is answered as long as no byte of its response was sent.
 */
export class HandedOffConnection {
    /** The open request. */
    private request: MessageReader | undefined;
    /** The response that has begun. */
    private response: MessageReader | undefined;
    private isAnswered = false;
    private arrivedAtMs = 0;
    /** What was copied of the open request, while it may have to be served here. */
    private readonly held = new ByteCollector();
    private readonly heldMemory: HeldMessage;
    /** Whether the open request found no memory, so that it can't be served here. */
    private isNotHeld = false;
    private hasOpenExchange = false;
    /** What arrived behind the open request. */
    private readonly queued = new ByteCollector();
    /** Whether the bytes are no requests and responses that can be followed. */
    private isOpaque = false;
    /** Whether a response has told the caller that the connection closes. */
    private announcesClose = false;
    private isReturning = false;
    /** Whether it is being found out how the helper's connection has ended. */
    private isEnding = false;
    private hasEnded = false;
    private timer: NodeJS.Timeout | undefined;
    private readonly detachers: (() => void)[] = [];

    constructor(private readonly opts: HandedOffConnectionOptions) {
        const { caller, helper } = opts;
        this.heldMemory = opts.memory.open();
        this.listen(caller, "data", chunk => this.readCaller(chunk as Buffer));
        this.listen(caller, "drain", () => helper.resume());
        this.listen(caller, "end", () => helper.end());
        this.listen(caller, "error", () => this.end("closed"));
        this.listen(caller, "close", () => this.end("closed"));
        this.listen(helper, "data", chunk => this.readHelper(chunk as Buffer));
        this.listen(helper, "drain", () => this.resumeCaller());
        this.listen(helper, "error", () => this.loseConnection(false));
        // After the caller's own end was passed on, a reset cannot be told from an end.
        this.listen(helper, "end", () => this.loseConnection(caller.readableEnded || !wasReset(helper)));
        this.listen(helper, "close", () => this.loseConnection(false));
    }

    /** Serves the connection here once its helper has answered the open request. */
    returnWhenIdle(): void {
        this.isReturning = true;
        if (this.request === undefined && !this.announcesClose && !this.isOpaque) {
            this.takeBack();
        }
    }

    /**
     * Takes note that the helper cannot be reached or has stopped, which may pass. A begun response is waited for; a request that may be repeated
     * is served here at once, and another one when its time is over.
     */
    loseHelper(): void {
        this.returnWhenIdle();
        const { request } = this;
        if (this.hasEnded || this.timer !== undefined) {
            return;
        }
        if (this.isOpaque) {
            this.timer = setTimeout(() => this.giveUp(), UNKNOWN_TIME_MS).unref();
            return;
        }
        if (request === undefined) {
            // The last response has announced the close.
            this.close("closed");
            return;
        }
        const terms = this.getTerms();
        if (
            !this.isNotHeld && !this.hasBegun && (!request.isComplete || terms === undefined || terms.acquireRepeat())
        ) {
            this.takeBack({ hasRepeat: request.isComplete && terms !== undefined });
            return;
        }
        const endsAtMs = terms?.endsAtMs ?? performance.now() + UNKNOWN_TIME_MS;
        this.timer = setTimeout(() => this.expire(endsAtMs), endsAtMs - performance.now()).unref();
    }

    /** Takes note that the helper is back. */
    regainHelper(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
    }

    /** Ends what the helper serves: a request without a response is answered here, a begun response is cut. */
    giveUp(): void {
        if (this.hasEnded) {
            return;
        }
        if (!this.isOpaque && (this.request === undefined || this.isAnswered)) {
            this.close("closed");
        }
        else if (this.isOpaque || this.hasBegun) {
            this.cut();
        }
        else {
            this.takeBack();
        }
    }

    /** Whether any byte of the open request's final response may have been sent to the caller. */
    private get hasBegun(): boolean {
        return this.response !== undefined || this.isAnswered;
    }

    /** Whether the head of the final response has arrived. */
    private get hasFinalHead(): boolean {
        return (this.response?.head?.status ?? 0) >= FINAL_STATUS_FROM;
    }

    private listen(socket: Socket, event: string, listener: (arg: unknown) => void): void {
        socket.on(event, listener);
        this.detachers.push(() => socket.off(event, listener));
    }

    private getTerms(): RequestTerms | undefined {
        const head = this.request?.head;
        if (head === undefined) {
            return undefined;
        }
        const { method, target, rawHeaders } = head;
        return this.opts.getTerms({ method, target, rawHeaders, arrivedAtMs: this.arrivedAtMs });
    }

    private readCaller(chunk: Buffer): void {
        if (this.isOpaque) {
            this.sendToHelper(chunk);
            return;
        }
        if (this.request?.isComplete === true || this.announcesClose) {
            this.queue(chunk);
            return;
        }
        if (this.request === undefined) {
            this.request = new MessageReader({ kind: "request" });
            this.arrivedAtMs = performance.now();
            this.setOpenExchange(true);
        }
        const own = chunk.subarray(0, this.request.read(chunk));
        if (!this.hasFinalHead && !this.isAnswered) {
            this.hold(own);
        }
        this.sendToHelper(own);
        if (this.request.isInvalid || this.request.head?.isUnfollowable === true) {
            this.queue(chunk.subarray(own.length));
            this.stopFollowing();
            return;
        }
        if (own.length < chunk.length) {
            this.queue(chunk.subarray(own.length));
        }
        this.finishExchange();
    }

    private readHelper(chunk: Buffer): void {
        let rest = chunk;
        while (rest.length > 0 && !this.hasEnded) {
            if (this.isOpaque || this.request === undefined) {
                // A close that the helper explains without a request, or no HTTP any more.
                this.stopFollowing();
                this.sendToCaller(rest);
                return;
            }
            this.response ??= new MessageReader({
                kind: "response",
                hasNoBody: this.request.head?.method === "HEAD",
            });
            const { response } = this;
            const own = rest.subarray(0, response.read(rest));
            rest = rest.subarray(own.length);
            this.sendToCaller(own);
            if (response.isInvalid || response.head?.isUnfollowable === true) {
                this.stopFollowing();
                continue;
            }
            const isFinal = this.hasFinalHead;
            if (isFinal) {
                this.clearHeld();
                this.announcesClose ||= response.head?.keepsConnection === false;
            }
            if (response.isComplete) {
                this.response = undefined;
                this.isAnswered = isFinal;
                this.finishExchange();
            }
        }
    }

    /** Copies the rest of the connection without following it. */
    private stopFollowing(): void {
        this.isOpaque = true;
        this.clearHeld();
        const unsent = this.queued.take();
        if (unsent.length > 0) {
            this.opts.caller.resume();
            this.sendToHelper(unsent);
        }
    }

    private finishExchange(): void {
        if (!this.isAnswered || this.request?.isComplete !== true) {
            return;
        }
        this.request = undefined;
        this.isAnswered = false;
        this.isNotHeld = false;
        this.setOpenExchange(false);
        this.clearHeld();
        clearTimeout(this.timer);
        this.timer = undefined;
        if (this.announcesClose) {
            return;
        }
        if (this.isReturning) {
            this.takeBack();
            return;
        }
        const next = this.queued.take();
        if (next.length > 0) {
            this.resumeCaller();
            this.readCaller(next);
        }
    }

    private hold(chunk: Buffer): void {
        if (this.isNotHeld) {
            return;
        }
        if (this.heldMemory.tryResize(this.held.size + chunk.length)) {
            this.held.add(chunk);
            return;
        }
        this.clearHeld();
        this.isNotHeld = true;
        this.opts.onNotHeld?.();
    }

    private clearHeld(): void {
        this.held.clear();
        this.heldMemory.tryResize(0);
    }

    private setOpenExchange(isOpen: boolean): void {
        if (this.hasOpenExchange !== isOpen) {
            this.hasOpenExchange = isOpen;
            this.opts.onExchange?.(isOpen ? 1 : -1);
        }
    }

    private queue(chunk: Buffer): void {
        this.queued.add(chunk);
        if (this.queued.size > MAX_QUEUED_BYTES) {
            this.opts.caller.pause();
        }
    }

    private resumeCaller(): void {
        if (this.queued.size <= MAX_QUEUED_BYTES) {
            this.opts.caller.resume();
        }
    }

    private sendToHelper(chunk: Buffer): void {
        if (!this.opts.helper.write(chunk)) {
            this.opts.caller.pause();
        }
    }

    private sendToCaller(chunk: Buffer): void {
        if (!this.opts.caller.write(chunk)) {
            this.opts.helper.pause();
        }
    }

    /** Ends a request whose time is over, and whose response is over a moment later. */
    private expire(endsAtMs: number): void {
        const leftMs = endsAtMs + LATE_END_MS - performance.now();
        if (this.hasBegun && leftMs > 0) {
            this.timer = setTimeout(() => this.giveUp(), leftMs).unref();
        }
        else {
            this.giveUp();
        }
    }

    /** Takes note that the connection to the helper has ended; `isOrderly` unless it was reset. */
    private loseConnection(isOrderly: boolean): void {
        const { caller, helper, confirmEnd } = this.opts;
        if (this.isEnding) {
            return;
        }
        const mayLookWhole = this.isOpaque || this.response?.head?.isFramed === false;
        if (!this.isOpaque && this.response !== undefined && this.response.head === undefined) {
            this.cut();
        }
        else if (!mayLookWhole && !this.hasBegun && !this.announcesClose && !caller.readableEnded) {
            this.takeBack();
        }
        else if (!mayLookWhole && (this.request === undefined || !this.hasBegun || this.isAnswered)) {
            this.close("closed");
        }
        else if (!isOrderly) {
            this.cut();
        }
        else if (!mayLookWhole) {
            // The caller sees by the framing that the response is not whole.
            this.close("cut");
        }
        else {
            this.isEnding = true;
            helper.end();
            void confirmEnd().then(isConfirmed => isConfirmed ? this.close("closed") : this.cut());
        }
    }

    private close(end: HandoffEnd): void {
        const { caller, onEnd } = this.opts;
        if (this.stop()) {
            closeWithLinger(caller);
            afterSending(caller, () => onEnd(end));
        }
    }

    private cut(): void {
        if (this.end("cut")) {
            destroyAfterFlush(this.opts.caller, { withReset: true });
        }
    }

    /** Serves the connection here, with what its caller has sent since the last response. */
    private takeBack({ hasRepeat = false } = {}): void {
        if (this.isNotHeld) {
            this.close("cut");
            return;
        }
        const { caller, serveHere } = this.opts;
        const { arrivedAtMs, request } = this;
        const isInterrupted = request?.isComplete === true;
        const unserved = Buffer.concat([this.held.take(), this.queued.take()]);
        if (caller.readableEnded || (unserved.length === 0 && this.opts.isStopping())) {
            this.close("closed");
            return;
        }
        if (!this.end(isInterrupted ? "interrupted" : "returned") || caller.destroyed) {
            return;
        }
        caller.off("error", ignoreError).pause();
        if (unserved.length > 0) {
            caller.unshift(unserved);
        }
        serveHere(request === undefined ? undefined : { arrivedAtMs, isInterrupted, hasRepeat });
    }

    /** Stops copying and reports it; returns whether it had not stopped before. */
    private end(end: HandoffEnd): boolean {
        const isFirst = this.stop();
        if (isFirst) {
            this.opts.onEnd(end);
        }
        return isFirst;
    }

    private stop(): boolean {
        if (this.hasEnded) {
            return false;
        }
        this.hasEnded = true;
        clearTimeout(this.timer);
        this.heldMemory.release();
        this.setOpenExchange(false);
        this.detachers.forEach(detach => detach());
        const { caller, helper } = this.opts;
        caller.on("error", ignoreError);
        helper.on("error", ignoreError).destroy();
        return true;
    }
}

/** Calls back once what was written on a connection is sent, or the connection has closed. */
const afterSending = (socket: Socket, callback: () => void): void => {
    if (socket.writableLength === 0) {
        callback();
        return;
    }
    const finish = (): void => {
        socket.off("finish", finish).off("close", finish);
        callback();
    };
    socket.once("finish", finish).once("close", finish);
};

const ignoreError = (): void => undefined;
