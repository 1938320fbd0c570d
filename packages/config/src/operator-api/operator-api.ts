import { OspreyError, toOspreyError } from "@ospreyreel/errors";
import { createTokenCheck } from "./bearer-token.js";
import type { OperatorErrorBody, OperatorRequest, OperatorResponse } from "./operator-messages.js";
import { createOperatorRoutes, type OperatorRoutesOptions } from "./operator-routes.js";

/** Options of {@link createOperatorApi}. */
export interface OperatorApiOptions extends OperatorRoutesOptions {
    /** Bearer token that operators present. */
    readonly token: string;
}

/** Handles requests to the operator port; never rejects. */
export type OperatorApi = (req: OperatorRequest) => Promise<OperatorResponse>;

const toErrorResponse = (err: unknown): OperatorResponse => {
    const { result, message, details, retryAfterS } = toOspreyError(err);
    const body: OperatorErrorBody = { error: { code: result.code, name: result.name, message, details } };
    return { status: result.status, retryAfterS, body };
};

/** Creates the operator port's HTTP API without its socket; the daemon reads requests and sends responses. */
export const createOperatorApi = (opts: OperatorApiOptions): OperatorApi => {
    const routes = createOperatorRoutes(opts);
    const isAuthorized = createTokenCheck(opts.token);
    const handleRequest = async (req: OperatorRequest): Promise<unknown> => {
        if (!isAuthorized(req.authorization)) {
            throw new OspreyError("the token is missing or wrong", { result: "unauthorized" });
        }
        const [path = "", query = ""] = req.url.split("?", 2);
        const route = routes.get(`${req.method} ${path}`);
        if (route === undefined) {
            throw new OspreyError("there is no such path", { result: "notFound" });
        }
        return await route({ query: new URLSearchParams(query), body: req.body });
    };
    return async req => {
        try {
            return { status: 200, body: await handleRequest(req) };
        }
        catch (err) {
            return toErrorResponse(err);
        }
    };
};
