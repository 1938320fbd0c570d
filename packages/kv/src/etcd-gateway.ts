import { hasResult, OspreyError, type ResultName } from "@ospreyreel/errors";
import { Pool } from "undici";
import type { Dispatcher } from "undici";

/** Options of {@link EtcdGateway}. */
export interface EtcdGatewayOptions {
    /** Base URLs by IP number. */
    readonly endpoints: readonly string[];
    /** Deadline of one call over all endpoints; 1,000 by default. */
    readonly deadlineMs?: number;
}

/** Options of {@link EtcdGateway.openStream}. */
export interface StreamOptions {
    /** Index of the endpoint, from `preferredIndex`. */
    readonly index: number;
    readonly signal: AbortSignal;
    /** Time without data after which the stream fails. */
    readonly idleTimeoutMs: number;
}

/** Called for every attempted exchange, for counting. */
export type ExchangeHandler = () => void;

interface GatewayErrorBody {
    readonly code?: number;
    readonly message?: string;
}

/** gRPC status code of a missing object, such as an expired lease. */
const GRPC_NOT_FOUND = 5;

/** gRPC status codes that mean that the service rejected the call without effect. */
const NO_EFFECT_GRPC_CODES: ReadonlySet<number | undefined> = new Set([
    3, // invalid argument
    GRPC_NOT_FOUND,
    8, // resource exhausted
    9, // failed precondition
    12, // unimplemented
]);

/** The code for unavailable has several causes; only this one is reported before a call is proposed. */
const NO_EFFECT_MESSAGE = "etcdserver: no leader";

const JSON_HEADERS = { "content-type": "application/json" };

/** Error response of the gateway, with its gRPC status code. */
export class GatewayError extends Error {
    readonly grpcCode: number | undefined;
    readonly hadNoEffect: boolean;

    constructor(status: number, body: GatewayErrorBody) {
        super(`status ${status}: ${body.message ?? "no message"}`);
        this.grpcCode = body.code;
        this.hadNoEffect = NO_EFFECT_GRPC_CODES.has(body.code)
            || (status === 503 && body.message === NO_EFFECT_MESSAGE);
    }
}

/** Whether an error of the gateway means that the named object does not exist. */
export const isNotFound = (err: unknown): boolean =>
    // The properties of a cause are merged into the error that wraps it.
    hasResult(err, "kvUnavailable") && (err as { readonly grpcCode?: number; }).grpcCode === GRPC_NOT_FOUND;

/** Whether a failed exchange certainly had no effect, since no byte of it was sent or the service reports so. */
const hadNoEffect = (err: unknown): boolean => {
    if (err instanceof GatewayError) {
        return err.hadNoEffect;
    }
    const { code, syscall } = err as { readonly code?: string; readonly syscall?: string; };
    return code === "UND_ERR_CONNECT_TIMEOUT" || syscall === "connect";
};

const parseErrorBody = (text: string): GatewayErrorBody => {
    try {
        const { code, message } = JSON.parse(text) as GatewayErrorBody;
        return { code, message };
    }
    catch {
        return {};
    }
};

const toCallError = (path: string, result: ResultName, cause: unknown): Error =>
    new OspreyError(`call of ${path} failed`, { result, cause });

/** Sends requests to the JSON gateway; continues with the next endpoint when one fails. */
export class EtcdGateway {
    private readonly pools: readonly Pool[];
    private readonly deadlineMs: number;
    private preferred = 0;

    constructor(opts: EtcdGatewayOptions) {
        if (opts.endpoints.length === 0) {
            throw new RangeError("the key-value service needs an endpoint");
        }
        this.deadlineMs = opts.deadlineMs ?? 1000;
        // A connect times out before the deadline, so that it is distinguished from an exchange that timed out.
        const connect = { timeout: Math.ceil(this.deadlineMs / 2) };
        // One exchange at a time on a connection, so that aborting one aborts no other.
        this.pools = opts.endpoints.map(endpoint => new Pool(endpoint, { pipelining: 1, connect }));
    }

    /** Index of the endpoint that calls try first. */
    get preferredIndex(): number {
        return this.preferred;
    }

    /** Reads; tries every endpoint within the deadline. Throws `kvUnavailable`. */
    async read<T>(path: string, body: unknown, onExchange: ExchangeHandler): Promise<T> {
        try {
            return await this.tryEndpoints<T>(path, body, onExchange, () => true);
        }
        catch (err) {
            throw toCallError(path, "kvUnavailable", err);
        }
    }

    /** Writes; continues with the next endpoint only while no effect is possible. Throws as documented at KvClient. */
    async write<T>(path: string, body: unknown, onExchange: ExchangeHandler): Promise<T> {
        try {
            return await this.tryEndpoints<T>(path, body, onExchange, hadNoEffect);
        }
        catch (err) {
            throw toCallError(path, hadNoEffect(err) ? "kvUnavailable" : "kvOutcomeUnknown", err);
        }
    }

    /** Opens a streamed response, which fails after `idleTimeoutMs` without data. */
    async openStream(
        path: string,
        body: unknown,
        opts: StreamOptions,
    ): Promise<Dispatcher.ResponseData["body"]> {
        const res = await this.pool(opts.index).request({
            path,
            method: "POST",
            headers: JSON_HEADERS,
            body: JSON.stringify(body),
            signal: opts.signal,
            headersTimeout: this.deadlineMs,
            bodyTimeout: opts.idleTimeoutMs,
        });
        if (res.statusCode !== 200) {
            throw new GatewayError(res.statusCode, parseErrorBody(await res.body.text()));
        }
        return res.body;
    }

    /** Makes later calls start at the endpoint after a failed one, unless another call has already done so. */
    preferNextAfter(index: number): void {
        if (this.preferred === index) {
            this.preferred = (index + 1) % this.pools.length;
        }
    }

    /** Destroys all connections. */
    async close(): Promise<void> {
        await Promise.all(this.pools.map(pool => pool.destroy()));
    }

    private async tryEndpoints<T>(
        path: string,
        body: unknown,
        onExchange: ExchangeHandler,
        canRetry: (err: unknown) => boolean,
    ): Promise<T> {
        const signal = AbortSignal.timeout(this.deadlineMs);
        const first = this.preferred;
        for (let attempt = 1;; attempt++) {
            const index = (first + attempt - 1) % this.pools.length;
            try {
                onExchange();
                return await this.exchange<T>(index, path, body, signal);
            }
            catch (err) {
                this.preferNextAfter(index);
                if (attempt >= this.pools.length || signal.aborted || !canRetry(err)) {
                    throw err;
                }
            }
        }
    }

    private async exchange<T>(index: number, path: string, body: unknown, signal: AbortSignal): Promise<T> {
        const res = await this.pool(index).request({
            path,
            method: "POST",
            headers: JSON_HEADERS,
            body: JSON.stringify(body),
            signal,
        });
        if (res.statusCode !== 200) {
            throw new GatewayError(res.statusCode, parseErrorBody(await res.body.text()));
        }
        return await res.body.json() as T;
    }

    private pool(index: number): Pool {
        return this.pools[index] as Pool;
    }
}
