/** Sends a request: the browser's fetch, or a fake in tests. */
export type Fetch = (url: string, init: RequestInit) => Promise<Response>;

/** An error response of the operator port. */
export interface Refusal {
    readonly status: number;
    /** Name of the result code; empty if the response has none. */
    readonly name: string;
    readonly message: string;
    readonly details: readonly string[];
}

/** Result of a call; `lost` means that no response could be read, so a write may have taken effect. */
export type CallResult<T> =
    | { readonly kind: "ok"; readonly body: T; }
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    | { readonly kind: "lost"; readonly message: string; };

/** The active document. */
export interface DocumentResponse {
    readonly revision: number;
    readonly author: string;
    readonly text: string;
}

/** Result of checking a text. */
export interface CheckResult {
    readonly faults: readonly string[];
    readonly diff: readonly string[];
    readonly baseRevision: number;
}

/** An edit as sent; a repeat sends the same fields again. */
export interface Edit {
    readonly text: string;
    readonly baseRevision: number;
    readonly editId: string;
    readonly author: string;
}

/** Response to an accepted edit. */
export interface AppliedResponse {
    readonly revision: number;
    readonly alreadyApplied: boolean;
}

interface ErrorResponse {
    readonly error?: { readonly name?: string; readonly message?: string; readonly details?: readonly string[]; };
}

const toRefusal = (status: number, body: ErrorResponse): Refusal => ({
    status,
    name: body.error?.name ?? "",
    message: body.error?.message ?? `status ${status}`,
    details: body.error?.details ?? [],
});

/** Calls the operator port that served the page, with the operator's token on each call. */
export class OperatorCalls {
    constructor(private readonly base: string, private readonly token: string, private readonly fetch: Fetch) {}

    /** Reads the JSON Schema of the document. */
    async getSchema(): Promise<CallResult<unknown>> {
        return await this.call("GET", "/schema");
    }

    /** Reads the active document. */
    async getDocument(): Promise<CallResult<DocumentResponse>> {
        return await this.call("GET", "/document");
    }

    /** Checks a text: lists every fault, or the changes it would make. */
    async check(text: string): Promise<CallResult<CheckResult>> {
        return await this.call("POST", "/check", { text });
    }

    /** Sends an edit; `repeat` means that an earlier call may have taken effect. */
    async apply(edit: Edit, repeat: boolean): Promise<CallResult<AppliedResponse>> {
        return await this.call("POST", "/document", { ...edit, repeat });
    }

    private async call<T>(method: string, path: string, body?: unknown): Promise<CallResult<T>> {
        try {
            const res = await this.fetch(`${this.base}/operator/v1${path}`, {
                method,
                headers: { "authorization": `Bearer ${this.token}`, "content-type": "application/json" },
                cache: "no-store",
                ...(body === undefined ? {} : { body: JSON.stringify(body) }),
            });
            const parsed = await res.json() as unknown;
            return res.ok
                ? { kind: "ok", body: parsed as T }
                : { kind: "refused", refusal: toRefusal(res.status, parsed as ErrorResponse) };
        }
        catch (err) {
            return { kind: "lost", message: err instanceof Error ? err.message : String(err) };
        }
    }
}
