import { HttpTargetClient, type TargetDispatchOptions } from "@ospreyreel/targets";
import { Pool } from "undici";
import { type TargetCall, type TargetOutcome, TargetPort } from "../targets/target-port.js";
import type { Target } from "../targets/target.js";
import type { ResponseEnds } from "./response-ends.js";
import { TargetCallHandler } from "./target-call-handler.js";
import { createTargetConnector } from "./target-connector.js";
import type { TargetProtocol } from "./target-protocol.js";

/** Time for which an idle connection is kept open if the target announces no time, in milliseconds. */
const KEEP_ALIVE_MS = 4_000;

/** Maximum time for which an idle connection is kept open if the target announces a time, in milliseconds. */
const MAX_KEEP_ALIVE_MS = 60_000;

/**
 * Time by which a connection is closed before the target closes it, in milliseconds, so that no request races the
 * close.
 */
const KEEP_ALIVE_MARGIN_MS = 1_000;

/**
 * Keep-alive time for requests that may run at most once, in milliseconds. Targets may drop idle connections without
 * notice, and a request on a dropped connection is lost.
 */
const SINGLE_RUN_KEEP_ALIVE_MS = 1_000;

const getTargetKey = (target: Target): string =>
    `${target.id} ${target.startedAtMs ?? ""} ${target.host}:${target.port}`;

const getOrigin = ({ host, port }: Target): string => `http://${host}:${port}`;

interface TargetPools {
    readonly repeatable: Pool;
    readonly singleRun: Pool;
}

/** Sends requests over HTTP/1.1, one at a time on each connection. */
export class HttpTargetPort extends TargetPort {
    private readonly pools = new Map<string, TargetPools>();

    constructor(private readonly protocol: TargetProtocol, private readonly ends: ResponseEnds) {
        super();
    }

    override send(call: TargetCall): Promise<TargetOutcome> {
        return new Promise(resolve => {
            const { req, signal } = call;
            const handler = new TargetCallHandler(call, this.protocol, this.ends, resolve);
            const abort = (): void => handler.abort(new Error("the request's time has ended"));
            if (signal.aborted) {
                resolve({ kind: "not_sent", cause: "the request's time has ended" });
                return;
            }
            signal.addEventListener("abort", abort, { once: true });
            const pools = this.findPools(call.target);
            if (pools === undefined) {
                resolve({ kind: "not_sent", cause: "the target's address cannot be used" });
                return;
            }
            const opts: TargetDispatchOptions = {
                path: req.path,
                method: req.method,
                headers: this.protocol.encode(call).flat(),
                body: req.body.length === 0 ? null : req.body,
                headersTimeout: 0,
                bodyTimeout: 0,
                onConnection: connection => handler.watch.setConnection(connection),
            };
            (call.isRepeatable ? pools.repeatable : pools.singleRun).dispatch(opts, handler);
        });
    }

    override hasIdleConnection(target: Target, isRepeatable: boolean): boolean {
        const pools = this.pools.get(getTargetKey(target));
        return pools !== undefined && (isRepeatable ? pools.repeatable : pools.singleRun).stats.free > 0;
    }

    override keepOnly(targets: readonly Target[]): void {
        const kept = new Set(targets.map(getTargetKey));
        for (const [key, { repeatable, singleRun }] of this.pools) {
            if (!kept.has(key)) {
                this.pools.delete(key);
                // Waits for the requests in flight.
                void repeatable.close();
                void singleRun.close();
            }
        }
    }

    override async close(): Promise<void> {
        const pools = [...this.pools.values()].flatMap(({ repeatable, singleRun }) => [repeatable, singleRun]);
        await Promise.all(pools.map(pool => pool.destroy()));
    }

    /** Returns the pools of a target; undefined where its address is none. */
    private findPools(target: Target): TargetPools | undefined {
        return URL.canParse(getOrigin(target)) ? this.getPools(target) : undefined;
    }

    private getPools(target: Target): TargetPools {
        const key = getTargetKey(target);
        const known = this.pools.get(key);
        if (known !== undefined) {
            return known;
        }
        const pools = {
            repeatable: createPool(target, KEEP_ALIVE_MS, MAX_KEEP_ALIVE_MS),
            singleRun: createPool(target, SINGLE_RUN_KEEP_ALIVE_MS, SINGLE_RUN_KEEP_ALIVE_MS),
        };
        this.pools.set(key, pools);
        return pools;
    }
}

const createPool = (target: Target, keepAliveTimeout: number, keepAliveMaxTimeout: number): Pool =>
    new Pool(getOrigin(target), {
        pipelining: 1,
        factory: (origin, opts) => new HttpTargetClient(origin, opts, onOpen => createTargetConnector({ onOpen })),
        keepAliveTimeout,
        keepAliveMaxTimeout,
        keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
    });
