import type { Address } from "@ospreyreel/types";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type JsonHandler, parseJson, readText, sendJson, startJsonServer } from "../http-json/json-server.js";
import { BatchScheduler } from "./batch-scheduler.js";
import { createEngineFaults, ENGINE_DEFAULTS, type EngineFaults, type EngineOptions } from "./engine-options.js";
import { type EngineParts, handleCompletion, handleOrder, handleStream } from "./engine-routes.js";
import { LoadHistory } from "./load-history.js";
import { OrderBook } from "./order-book.js";
import { PrefixCache } from "./prefix-cache.js";
import { type EngineRecord, StreamStore } from "./stream-store.js";
import { WeightLoader } from "./weight-loader.js";

/** A model engine in this process. */
export interface EngineStandIn {
    readonly address: Address;
    readonly url: string;
    /** Everything that ran. */
    readonly record: () => EngineRecord;
    /** Faults to inject; fields are set in place. */
    readonly faults: EngineFaults;
    readonly orders: OrderBook;
    readonly close: () => Promise<void>;
}

const createParts = (engine: Required<EngineOptions>): EngineParts => {
    const faults = createEngineFaults();
    const load = new LoadHistory(engine.capacity, engine.loadLagMs);
    const cache = new PrefixCache({
        capacity: engine.cachedPrefixes,
        lagMs: engine.cacheEventLagMs,
        gap: engine.cacheEventGap,
    });
    const scheduler = new BatchScheduler({ engine, faults, load, cache });
    const store = new StreamStore(scheduler, engine.keepMs);
    return {
        name: engine.name,
        faults,
        scheduler,
        store,
        load,
        cache,
        orders: new OrderBook(engine.checksFencing),
        weights: new WeightLoader(engine.weightStoreUrl),
    };
};

const setFaults = async (faults: EngineFaults, req: IncomingMessage, res: ServerResponse): Promise<void> => {
    Object.assign(faults, parseJson(await readText(req)));
    sendJson(res, 200, faults);
};

const createHandler = (parts: EngineParts): JsonHandler => async (req, res) => {
    const url = new URL(req.url ?? "/", "http://engine");
    const id = req.headers["x-request-id"];
    if (id !== undefined) {
        res.setHeader("x-request-id", id);
    }
    if (url.pathname.startsWith("/v1/streams/")) {
        return handleStream(parts, url, res);
    }
    switch (`${req.method} ${url.pathname}`) {
        case "POST /v1/chat/completions":
            return handleCompletion(parts, "chat", req, res);
        case "POST /v1/completions":
            return handleCompletion(parts, "text", req, res);
        case "GET /v1/load":
            return sendJson(res, 200, { ...parts.load.read(), leaving: parts.faults.leaving });
        case "GET /v1/cache-events":
            return sendJson(res, 200, {
                events: parts.cache.getEventsAfter(Number(url.searchParams.get("after") ?? 0)),
            });
        case "POST /v1/orders":
            return handleOrder(parts, req, res);
        case "GET /v1/orders":
            return sendJson(res, 200, {
                fencing: parts.orders.fencing,
                desired: parts.orders.desired,
                log: parts.orders.log,
            });
        case "GET /stand-in/record":
            return sendJson(res, 200, parts.store.getRecord(parts.name));
        case "GET /stand-in/totals":
            return sendJson(res, 200, { ...parts.store.getRecord(parts.name).totals, prefixHits: parts.cache.hits });
        case "POST /stand-in/faults":
            return setFaults(parts.faults, req, res);
        default:
            return sendJson(res, 404, { error: { message: "no such path" } });
    }
};

/** Starts a model engine stand-in; resolves once it takes connections. */
export const startEngineStandIn = async (opts: EngineOptions = {}): Promise<EngineStandIn> => {
    const engine = { ...ENGINE_DEFAULTS, ...opts };
    const parts = createParts(engine);
    const server = await startJsonServer(createHandler(parts), engine);
    return {
        address: server.address,
        url: server.url,
        record: () => parts.store.getRecord(parts.name),
        faults: parts.faults,
        orders: parts.orders,
        close: async () => {
            parts.scheduler.close();
            parts.store.close();
            await server.close();
        },
    };
};
