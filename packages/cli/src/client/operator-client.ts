import type {
    AppliedEdit,
    CheckResponse,
    DocumentEdit,
    HistoryOptions,
    HistoryResponse,
    StatusResponse,
} from "@ospreyreel/config";
import { hasResult, OspreyError } from "@ospreyreel/errors";
import type { VersionedDocument } from "@ospreyreel/types";
import { request } from "undici";
import { InputError } from "../program/input-error.js";
import { toRemoteError, wasNeverSent } from "./remote-error.js";

/** Options of {@link OperatorClient}. */
export interface OperatorClientOptions {
    /** Operator port of the instance: http://IP:PORT or IP:PORT. */
    readonly url: string;
    readonly token: string;
    /** Request timeout in milliseconds; 15,000 by default. */
    readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 15_000;

const toOrigin = (url: string): string => {
    const text = url.includes("://") ? url : `http://${url}`;
    if (!URL.canParse(text) || new URL(text).protocol !== "http:") {
        throw new InputError(`${url} is not a URL such as http://127.0.0.1:8081`, { result: "badRequest" });
    }
    return new URL(text).origin;
};

/** Client of one instance's operator port; each method throws an error with the result that the instance returned. */
export class OperatorClient {
    readonly origin: string;
    private readonly token: string;
    private readonly timeoutMs: number;

    constructor(opts: OperatorClientOptions) {
        this.origin = toOrigin(opts.url);
        this.token = opts.token;
        this.timeoutMs = opts.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    }

    /** Reads a revision; the active one by default. */
    async getDocument(revision?: number): Promise<VersionedDocument> {
        const query = revision === undefined ? "" : `?revision=${revision}`;
        return (await this.call("GET", `/operator/v1/document${query}`)) as VersionedDocument;
    }

    /** Reads the number of the active revision; 0 if there is none. */
    async getCurrentRevision(): Promise<number> {
        try {
            return (await this.getDocument()).revision;
        }
        catch (err) {
            if (hasResult(err, "notFound")) {
                return 0;
            }
            throw err;
        }
    }

    /** Applies an edit; a failure throws `documentOutcomeUnknown` unless the edit was certainly not applied. */
    async apply(edit: DocumentEdit): Promise<AppliedEdit> {
        try {
            return (await this.call("POST", "/operator/v1/document", edit)) as AppliedEdit;
        }
        catch (err) {
            const mayBeApplied = edit.repeat === true && hasResult(err, "documentUnavailable");
            if (err instanceof OspreyError && err.result.outcome === "not_run" && !mayBeApplied) {
                throw err;
            }
            throw new OspreyError("it is unknown whether the edit was applied", {
                result: "documentOutcomeUnknown",
                cause: err,
            });
        }
    }

    /** Checks a text and compares it with the active document. */
    async check(text: string): Promise<CheckResponse> {
        return (await this.call("POST", "/operator/v1/check", { text })) as CheckResponse;
    }

    /** Lists accepted revisions, the latest first. */
    async getHistory({ before, limit }: HistoryOptions = {}): Promise<HistoryResponse> {
        const query = new URLSearchParams();
        if (before !== undefined) {
            query.set("before", String(before));
        }
        if (limit !== undefined) {
            query.set("limit", String(limit));
        }
        return (await this.call("GET", `/operator/v1/history?${query.toString()}`)) as HistoryResponse;
    }

    /** Reads the status of the instance and of its peers. */
    async getStatus(): Promise<StatusResponse> {
        return (await this.call("GET", "/operator/v1/status")) as StatusResponse;
    }

    /** Reads a dump of the process's state. */
    async getDump(): Promise<unknown> {
        return await this.call("GET", "/operator/v1/dump");
    }

    private async call(method: "GET" | "POST", path: string, body?: unknown): Promise<unknown> {
        const { statusCode, text } = await this.send(method, path, body);
        let parsed: unknown;
        try {
            parsed = JSON.parse(text);
        }
        catch (err) {
            throw new OspreyError(`${this.origin} responded with status ${statusCode} and no valid JSON`, {
                cause: err,
            });
        }
        if (statusCode === 200) {
            return parsed;
        }
        throw toRemoteError(parsed) ?? new OspreyError(`${this.origin} responded with status ${statusCode}`);
    }

    private async send(
        method: "GET" | "POST",
        path: string,
        body: unknown,
    ): Promise<{ readonly statusCode: number; readonly text: string; }> {
        const headers = { authorization: `Bearer ${this.token}`, "content-type": "application/json" };
        const signal = AbortSignal.timeout(this.timeoutMs);
        try {
            const payload = body === undefined ? {} : { body: JSON.stringify(body) };
            const res = await request(`${this.origin}${path}`, { method, headers, signal, ...payload });
            return { statusCode: res.statusCode, text: await res.body.text() };
        }
        catch (err) {
            if (method === "GET" || wasNeverSent(err)) {
                throw new OspreyError(`${this.origin} is unreachable`, {
                    result: "documentUnavailable",
                    cause: err,
                });
            }
            throw new OspreyError(`${this.origin} sent no response`, { cause: err });
        }
    }
}
