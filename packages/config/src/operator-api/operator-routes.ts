import { OspreyError } from "@ospreyreel/errors";
import type { PeerHub } from "@ospreyreel/peer";
import { Type } from "@sinclair/typebox";
import { documentSchema } from "../document/document-schema.js";
import { reviewDocument } from "../document/review-document.js";
import { createShapeCheck } from "../json/shape.js";
import type { ConfigStore } from "../store/config-store.js";
import { parseDocumentEdit } from "../store/document-edit.js";
import type { CheckResponse, HistoryResponse, StatusResponse } from "./operator-messages.js";

/** Options of {@link createOperatorRoutes}. */
export interface OperatorRoutesOptions {
    readonly store: ConfigStore;
    readonly hub: PeerHub;
    /** Time without contact after which the instance is stale; 0 means never. */
    readonly staleAfterS: number;
    /** Returns a dump of the process's state; must contain no secrets. */
    readonly getDump: () => unknown;
}

/** A request whose token was checked. */
export interface RoutedRequest {
    readonly query: URLSearchParams;
    readonly body: string;
}

/** Returns the value to send as JSON, or throws an error with a result code. */
export type OperatorRoute = (req: RoutedRequest) => unknown;

const MAX_HISTORY_ENTRIES = 100;

const readJson = (body: string): unknown => {
    try {
        return JSON.parse(body) as unknown;
    }
    catch {
        throw new OspreyError("the body is not JSON", { result: "badRequest" });
    }
};

const readInteger = (query: URLSearchParams, name: string): number | undefined => {
    const text = query.get(name);
    if (text === null) {
        return undefined;
    }
    if (!/^[1-9]\d{0,14}$/.test(text)) {
        throw new OspreyError(`${name} must be a positive integer`, { result: "badRequest" });
    }
    return Number(text);
};

const checkReviewRequest = createShapeCheck(Type.Object({ text: Type.String() }, { additionalProperties: false }));

const reviewText = (store: ConfigStore, body: string): CheckResponse => {
    const { value } = checkReviewRequest(readJson(body));
    if (value === undefined) {
        throw new OspreyError("the body must be an object with a text", { result: "badRequest" });
    }
    const current = store.current();
    return { ...reviewDocument(current?.document, value.text), baseRevision: current?.revision ?? 0 };
};

const readDocument = async (store: ConfigStore, revision: number | undefined): Promise<unknown> => {
    const document = await store.getRevision(revision);
    if (document === undefined) {
        const message = revision === undefined ? "no document was accepted yet" : `revision ${revision} is not stored`;
        throw new OspreyError(message, { result: "notFound" });
    }
    return document;
};

const readHistory = async (store: ConfigStore, query: URLSearchParams): Promise<HistoryResponse> => {
    const before = readInteger(query, "before");
    const limit = readInteger(query, "limit");
    const history = await store.getHistory({
        ...(before === undefined ? {} : { before }),
        ...(limit === undefined ? {} : { limit: Math.min(limit, MAX_HISTORY_ENTRIES) }),
    });
    return {
        history: history.map(({ revision, editId, author, acceptedAtMs }) => ({
            revision,
            editId,
            author,
            acceptedAtMs,
        })),
    };
};

const getStatus = ({ store, hub, staleAfterS }: OperatorRoutesOptions): StatusResponse => ({
    self: hub.self(),
    peers: hub.peers(),
    ready: store.current() !== undefined,
    stale: store.isStale(staleAfterS),
});

/** Creates the routes of the operator port, by method and path. */
export const createOperatorRoutes = (opts: OperatorRoutesOptions): ReadonlyMap<string, OperatorRoute> => {
    const { store } = opts;
    return new Map<string, OperatorRoute>([
        ["GET /operator/v1/document", req => readDocument(store, readInteger(req.query, "revision"))],
        ["POST /operator/v1/document", req => store.apply(parseDocumentEdit(readJson(req.body)))],
        ["POST /operator/v1/check", req => reviewText(store, req.body)],
        ["GET /operator/v1/history", req => readHistory(store, req.query)],
        ["GET /operator/v1/schema", () => documentSchema],
        ["GET /operator/v1/status", () => getStatus(opts)],
        ["GET /operator/v1/dump", () => opts.getDump()],
    ]);
};
