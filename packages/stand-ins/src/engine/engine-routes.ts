import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { parseJson, readText, sendJson } from "../http-json/json-server.js";
import { sendWholeAnswer, streamAnswer } from "./answer-writer.js";
import type { BatchScheduler } from "./batch-scheduler.js";
import { type CompletionKind, readCompletionRequest } from "./completion-request.js";
import type { EngineFaults } from "./engine-options.js";
import type { EngineStream } from "./engine-stream.js";
import type { LoadHistory } from "./load-history.js";
import type { DesiredState, OrderBook } from "./order-book.js";
import type { PrefixCache } from "./prefix-cache.js";
import type { StreamStore } from "./stream-store.js";
import type { WeightLoader } from "./weight-loader.js";

/** Parts of an engine that its routes reach. */
export interface EngineParts {
    readonly name: string;
    readonly faults: EngineFaults;
    readonly scheduler: BatchScheduler;
    readonly store: StreamStore;
    readonly load: LoadHistory;
    readonly cache: PrefixCache;
    readonly orders: OrderBook;
    readonly weights: WeightLoader;
}

const sendError = (res: ServerResponse, status: number, message: string): void =>
    sendJson(res, status, { error: { message } });

const takeRefusal = (faults: EngineFaults): { readonly status: number; readonly message: string; } | undefined => {
    if (faults.leaving || faults.refuse) {
        return { status: 503, message: faults.leaving ? "leaving" : "refused" };
    }
    if (faults.failNext > 0) {
        faults.failNext -= 1;
        return { status: 500, message: "failed before it ran" };
    }
    return undefined;
};

const takeCut = (faults: EngineFaults): number | undefined => {
    const cutAfter = faults.dieMidStream;
    faults.dieMidStream = undefined;
    return cutAfter;
};

const takeCrossed = (parts: EngineParts, stream: EngineStream): EngineStream => {
    const other = parts.faults.crossReplies ? parts.store.findOther(stream) : undefined;
    if (other !== undefined) {
        parts.faults.crossReplies = false;
    }
    return other ?? stream;
};

/** Starts a completion, or answers with the run that already has the caller's id. */
export const handleCompletion = async (
    parts: EngineParts,
    kind: CompletionKind,
    req: IncomingMessage,
    res: ServerResponse,
): Promise<void> => {
    const id = (req.headers["x-request-id"] as string | undefined) ?? randomUUID();
    res.setHeader("x-request-id", id);
    const completion = readCompletionRequest(kind, parseJson(await readText(req)));
    if (completion === undefined) {
        return sendError(res, 400, "malformed request");
    }
    const refusal = takeRefusal(parts.faults);
    if (refusal !== undefined) {
        return sendError(res, refusal.status, refusal.message);
    }
    const stream = parts.store.open(id, completion);
    if (stream === undefined) {
        return sendError(res, 409, "the id belongs to another request");
    }
    const answered = takeCrossed(parts, stream);
    const write = completion.stream ? streamAnswer : sendWholeAnswer;
    await write(res, answered, { cutAfter: takeCut(parts.faults), echoedId: answered.id });
};

/** Answers GET /v1/streams/ID, GET /v1/streams/ID/events and POST /v1/streams/ID/cancel. */
export const handleStream = async (
    parts: EngineParts,
    url: URL,
    res: ServerResponse,
): Promise<void> => {
    const [, , , id = "", action] = url.pathname.split("/");
    const stream = parts.store.get(decodeURIComponent(id));
    if (stream === undefined) {
        return sendError(res, 404, "unknown stream");
    }
    if (action === "events") {
        return streamAnswer(res, stream, { from: Number(url.searchParams.get("from") ?? 1) });
    }
    if (action === "cancel") {
        parts.scheduler.cancel(stream);
    }
    sendJson(res, 200, stream.toRecord());
};

/** Takes an order with its fencing number. */
export const handleOrder = async (parts: EngineParts, req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const order = parseJson(await readText(req)) as { fencing?: number; desired?: DesiredState; } | undefined;
    if (typeof order?.fencing !== "number" || !Array.isArray(order.desired?.models)) {
        return sendError(res, 400, "malformed order");
    }
    if (!parts.orders.take(order.fencing, order.desired)) {
        return sendError(res, 409, "the fencing number is old");
    }
    if (!await parts.weights.load(order.desired)) {
        return sendError(res, 503, "the weight store refused");
    }
    parts.orders.apply(order.desired);
    sendJson(res, 200, { accepted: true });
};
