import { OspreyError } from "@ospreyreel/errors";
import type { Counters } from "@ospreyreel/telemetry";
import type { Address } from "@ospreyreel/types";
import { type Dispatcher, Pool } from "undici";
import { HttpTargetClient } from "../connection/http-target-client.js";
import { isFramed } from "../connection/is-framed.js";
import { judgeResponseEnd } from "../connection/judge-response-end.js";
import { ProcessCheck } from "../connection/process-check.js";
import { createConnector } from "./create-connector.js";
import { guardResponse } from "./response-guard.js";
import { createSentMarker, type SentMark } from "./sent-marker.js";
import type {
    StreamRecord,
    TargetCall,
    TargetEvent,
    TargetExchange,
    TargetRef,
    TargetResponse,
    TargetResume,
    TargetStream,
    TargetStreamCall,
} from "./target-calls.js";
import { readEvents, skipLastSeen } from "./target-events.js";

/** Options of {@link TargetClient}; times in milliseconds. */
export interface TargetClientOptions {
    readonly counters: Counters;
    readonly connectTimeoutMs?: number;
    readonly headersTimeoutMs?: number;
    readonly bodyTimeoutMs?: number;
    /** Maximum size of a response that is read whole; 16 MiB by default. */
    readonly maxAnswerBytes?: number;
    /** Whether a target leaves, so that its process may end with its last response; none does by default. */
    readonly isLeaving?: (name: string) => boolean;
}

const DEFAULT_CONNECT_TIMEOUT_MS = 2000;
const DEFAULT_HEADERS_TIMEOUT_MS = 120_000;
const DEFAULT_BODY_TIMEOUT_MS = 120_000;
const DEFAULT_MAX_ANSWER_BYTES = 16 * 1_048_576;
const REQUEST_ID_HEADER = "x-request-id";
const DEFAULT_PORT = 80;
/** Time for which a connection to a target that runs stays open after its response, in milliseconds. */
const END_HOLD_MS = 10;

const toAddress = (url: string): Address => {
    const { hostname, port } = new URL(url);
    return { host: hostname.replace(/^\[|\]$/g, ""), port: port === "" ? DEFAULT_PORT : Number(port) };
};

const NO_EVENTS: AsyncIterable<TargetEvent> = {
    [Symbol.asyncIterator]: () => ({ next: () => Promise.resolve({ done: true, value: undefined }) }),
};

/**
 * Client of engines and plain services, with one exchange per connection at a time.
 *
 * Throws `noTarget` where the request certainly did not reach the target and `targetFailed` where it may have run;
 * `answerTooLarge` where it ran and its response was discarded.
 */
export class TargetClient {
    private readonly pools = new Map<string, Pool>();
    /** Pools of targets that are no longer in use and still have running responses. */
    private readonly closingPools = new Set<Pool>();
    private readonly processes = new ProcessCheck();

    constructor(private readonly opts: TargetClientOptions) {}

    /** Sends a request and reads the whole response. */
    async call(call: TargetCall): Promise<TargetResponse> {
        const res = await this.exchange(call, call);
        const body = await this.readWhole(call.target, res);
        if (call.method !== "HEAD") {
            await this.confirmEnd(call.target, res);
        }
        return { status: res.statusCode, headers: res.headers, body };
    }

    /** Sends a request whose response is a stream of events. */
    async openStream(call: TargetStreamCall): Promise<TargetStream> {
        const headers = { "content-type": "application/json", ...call.headers };
        const res = await this.exchange(call, { ...call, method: "POST", headers });
        return this.toStream(call.target, res, body => readEvents(body, 1));
    }

    /** Resumes a stream from an event; checks the stream against the event before it where that is given. */
    async resumeStream(resume: TargetResume): Promise<TargetStream> {
        const { lastSeen } = resume;
        const from = lastSeen?.id ?? resume.from;
        const path = `/v1/streams/${encodeURIComponent(resume.streamId)}/events?from=${from}`;
        const res = await this.exchange(resume, { path });
        return this.toStream(resume.target, res, body => {
            const events = readEvents(body, from);
            return lastSeen === undefined ? events : skipLastSeen(events, lastSeen);
        });
    }

    /** Returns the engine's record of a run; `undefined` where it has none. */
    async getStreamRecord(exchange: TargetExchange): Promise<StreamRecord | undefined> {
        return this.callStream(exchange, "GET", "");
    }

    /** Cancels a run; returns its record, or `undefined` where the engine has none. */
    async cancelStream(exchange: TargetExchange): Promise<StreamRecord | undefined> {
        return this.callStream(exchange, "POST", "/cancel");
    }

    /** Destroys all connections. */
    async close(): Promise<void> {
        const pools = [...this.pools.values(), ...this.closingPools];
        this.pools.clear();
        await Promise.all(pools.map(pool => pool.destroy()));
    }

    /** Closes the connections to targets no longer in use; resolves once their running responses have ended. */
    async closeUnusedPools(urls: ReadonlySet<string>): Promise<void> {
        const unused = [...this.pools].filter(([url]) => !urls.has(url));
        await Promise.all(unused.map(([url, pool]) => this.retire(url, pool)));
    }

    private async retire(url: string, pool: Pool): Promise<void> {
        this.pools.delete(url);
        this.closingPools.add(pool);
        await pool.close();
        this.closingPools.delete(pool);
    }

    private async callStream(
        exchange: TargetExchange,
        method: "GET" | "POST",
        action: string,
    ): Promise<StreamRecord | undefined> {
        const path = `/v1/streams/${encodeURIComponent(exchange.streamId)}${action}`;
        const res = await this.call({ ...exchange, method, path });
        if (res.status === 404) {
            return undefined;
        }
        if (res.status !== 200) {
            throw new OspreyError(`${exchange.target.name} responded with status ${res.status}`, {
                result: "targetFailed",
            });
        }
        const record = JSON.parse(res.body.toString("utf8")) as StreamRecord;
        if (record.id !== exchange.streamId) {
            throw this.createMismatchError(exchange.target, record.id);
        }
        return record;
    }

    private async exchange(
        exchange: TargetExchange,
        call: Pick<TargetCall, "method" | "path" | "headers" | "body">,
    ): Promise<Dispatcher.ResponseData> {
        const mark: SentMark = { sent: false };
        let res;
        try {
            res = await this.getPool(exchange.target.url).compose(guardResponse, createSentMarker(mark)).request({
                method: call.method ?? "GET",
                path: call.path,
                headers: { ...call.headers, [REQUEST_ID_HEADER]: exchange.streamId },
                ...(call.body === undefined ? {} : { body: call.body }),
                ...(exchange.signal === undefined ? {} : { signal: exchange.signal }),
                headersTimeout: exchange.headersTimeoutMs ?? this.opts.headersTimeoutMs ?? DEFAULT_HEADERS_TIMEOUT_MS,
                bodyTimeout: exchange.bodyTimeoutMs ?? this.opts.bodyTimeoutMs ?? DEFAULT_BODY_TIMEOUT_MS,
            });
        }
        catch (err) {
            throw this.toTargetError(exchange.target, mark, err);
        }
        const echoed = res.headers[REQUEST_ID_HEADER];
        if (echoed !== exchange.streamId) {
            // The remainder of another request's response must not stay on a reused connection.
            res.body.on("error", () => undefined).destroy();
            throw this.createMismatchError(exchange.target, String(echoed));
        }
        return res;
    }

    private async toStream(
        target: TargetRef,
        res: Dispatcher.ResponseData,
        read: (body: AsyncIterable<Uint8Array>) => AsyncIterable<TargetEvent>,
    ): Promise<TargetStream> {
        const { statusCode: status, headers } = res;
        if (status !== 200) {
            return { status, headers, events: NO_EVENTS, errorBody: await this.readWhole(target, res) };
        }
        return { status, headers, events: this.wrapErrors(target, read(res.body)), errorBody: Buffer.alloc(0) };
    }

    private async *wrapErrors(target: TargetRef, events: AsyncIterable<TargetEvent>): AsyncGenerator<TargetEvent> {
        try {
            yield* events;
        }
        catch (err) {
            throw this.toTargetError(target, { sent: true }, err);
        }
    }

    private async readWhole(target: TargetRef, res: Dispatcher.ResponseData): Promise<Buffer> {
        try {
            return await this.readBody(target, res);
        }
        catch (err) {
            throw this.toTargetError(target, { sent: true }, err);
        }
    }

    /** Throws where a body that ends with its connection may not be the whole one. */
    private async confirmEnd(target: TargetRef, { statusCode, headers }: Dispatcher.ResponseData): Promise<void> {
        if (isFramed(statusCode, headers["content-length"], headers["transfer-encoding"])) {
            return;
        }
        const isLeaving = this.opts.isLeaving?.(target.name) === true;
        const process = isLeaving ? undefined : await this.processes.check(toAddress(target.url), END_HOLD_MS);
        const end = judgeResponseEnd({ standing: isLeaving ? "leaving" : "serving", process });
        if (end !== "whole") {
            this.opts.counters.add("target_ends_not_confirmed");
            const cause = new Error(`the connection was closed, and the target's process is ${String(process)}`);
            throw this.toTargetError(target, { sent: true }, cause);
        }
    }

    private async readBody(target: TargetRef, res: Dispatcher.ResponseData): Promise<Buffer> {
        const maxBytes = this.opts.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES;
        const chunks: Buffer[] = [];
        let size = 0;
        // Leaving the loop destroys the connection, so that the remainder is not read.
        for await (const chunk of res.body as AsyncIterable<Buffer>) {
            size += chunk.length;
            if (size > maxBytes) {
                this.opts.counters.add("target_answers_too_large");
                throw new OspreyError(`the response of ${target.name} exceeds ${maxBytes} bytes`, {
                    result: "answerTooLarge",
                });
            }
            chunks.push(chunk);
        }
        return Buffer.concat(chunks, size);
    }

    private toTargetError(target: TargetRef, mark: SentMark, cause: unknown): OspreyError {
        if (cause instanceof OspreyError) {
            return cause;
        }
        this.opts.counters.add(mark.sent ? "target_exchanges_cut" : "target_connects_failed");
        return mark.sent
            ? new OspreyError(`${target.name} may have run the request`, { result: "targetFailed", cause })
            : new OspreyError(`${target.name} was not reached`, { result: "noTarget", cause });
    }

    private createMismatchError(target: TargetRef, echoed: string): OspreyError {
        this.opts.counters.add("target_crossed_replies");
        return new OspreyError(`${target.name} responded with the id ${echoed}`, { result: "targetFailed" });
    }

    private getPool(url: string): Pool {
        const known = this.pools.get(url);
        if (known !== undefined) {
            return known;
        }
        const timeoutMs = this.opts.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;
        const pool = new Pool(url, {
            pipelining: 1,
            factory: (origin, opts) => new HttpTargetClient(origin, opts, onOpen => createConnector(timeoutMs, onOpen)),
        });
        this.pools.set(url, pool);
        return pool;
    }
}
