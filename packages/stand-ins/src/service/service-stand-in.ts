import type { Address } from "@ospreyreel/types";
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout } from "node:timers/promises";
import { type JsonHandler, parseJson, readText, sendJson, startJsonServer } from "../http-json/json-server.js";

/** Options of the plain service stand-in. */
export interface ServiceOptions {
    readonly name?: string;
    readonly host?: string;
    /** 0, the default, takes a free port. */
    readonly port?: number;
    readonly zone?: string;
}

/** Faults to inject; those with a count wear off. */
export interface ServiceFaults {
    /** Wait before each answer, in milliseconds. */
    delayMs: number;
    /** Calls still to be refused with status 503 and without effect. */
    failBefore: number;
    /** Calls still to take effect and then lose their connection. */
    failAfter: number;
}

/** One call that took effect. */
export interface ServiceCall {
    readonly id: string;
    readonly method: string;
    readonly path: string;
    readonly body: string;
}

/** Every call that took effect. */
export interface ServiceRecord {
    readonly name: string;
    readonly calls: readonly ServiceCall[];
}

/** A plain service in this process. */
export interface ServiceStandIn {
    readonly address: Address;
    readonly url: string;
    readonly record: () => ServiceRecord;
    /** Faults to inject; fields are set in place. */
    readonly faults: ServiceFaults;
    readonly close: () => Promise<void>;
}

interface ServiceParts {
    readonly name: string;
    readonly faults: ServiceFaults;
    readonly calls: ServiceCall[];
}

const handleCall = async (parts: ServiceParts, req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const id = (req.headers["x-request-id"] as string | undefined) ?? randomUUID();
    const path = req.url ?? "/";
    const body = await readText(req);
    res.setHeader("x-request-id", id);
    if (parts.faults.failBefore > 0) {
        parts.faults.failBefore -= 1;
        return sendJson(res, 503, { error: { message: "refused before any effect" } });
    }
    const call = parts.calls.push({ id, method: req.method ?? "GET", path, body });
    if (parts.faults.delayMs > 0) {
        await setTimeout(parts.faults.delayMs);
    }
    if (parts.faults.failAfter > 0) {
        parts.faults.failAfter -= 1;
        res.destroy();
        return;
    }
    sendJson(res, 200, { id, path, call });
};

const createHandler = (parts: ServiceParts): JsonHandler => async (req, res) => {
    switch (`${req.method} ${req.url}`) {
        case "GET /stand-in/record":
            return sendJson(res, 200, { name: parts.name, calls: parts.calls });
        case "POST /stand-in/faults":
            Object.assign(parts.faults, parseJson(await readText(req)));
            return sendJson(res, 200, parts.faults);
        default:
            return handleCall(parts, req, res);
    }
};

/** Starts a plain service stand-in; resolves once it takes connections. */
export const startServiceStandIn = async (opts: ServiceOptions = {}): Promise<ServiceStandIn> => {
    const { name = "service" } = opts;
    const parts: ServiceParts = { name, faults: { delayMs: 0, failBefore: 0, failAfter: 0 }, calls: [] };
    const server = await startJsonServer(createHandler(parts), opts);
    return {
        address: server.address,
        url: server.url,
        record: () => ({ name, calls: [...parts.calls] }),
        faults: parts.faults,
        close: server.close,
    };
};
