/** Kind of completion by path. */
export type CompletionKind = "chat" | "text";

/** The parts of an OpenAI-style request that the stand-in uses. */
export interface CompletionRequest {
    readonly kind: CompletionKind;
    readonly model: string;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly stream: boolean;
    readonly includeUsage: boolean;
    /** 0 (first) to 9 (last). */
    readonly priority: number;
}

const DEFAULT_MAX_TOKENS = 256;
const DEFAULT_PRIORITY = 5;

interface RequestBody {
    readonly model?: unknown;
    readonly prompt?: unknown;
    readonly messages?: unknown;
    readonly max_tokens?: unknown;
    readonly max_completion_tokens?: unknown;
    readonly stream?: unknown;
    readonly stream_options?: { readonly include_usage?: unknown; };
    readonly priority?: unknown;
}

const getContent = (message: unknown): string => {
    const content = (message as { readonly content?: unknown; } | undefined)?.content;
    if (typeof content === "string") {
        return content;
    }
    const parts: readonly unknown[] = Array.isArray(content) ? content : [];
    return parts.map(part => (part as { readonly text?: unknown; }).text)
        .filter(text => typeof text === "string")
        .join("");
};

/** Joins the contents of chat messages into the prompt that the answer derives from. */
export const joinMessages = (messages: readonly unknown[]): string => messages.map(getContent).join("\n");

const getPrompt = (kind: CompletionKind, body: RequestBody): string | undefined => {
    if (kind === "text") {
        return typeof body.prompt === "string" ? body.prompt : undefined;
    }
    return Array.isArray(body.messages) ? joinMessages(body.messages) : undefined;
};

const toNumber = (value: unknown, fallback: number): number => typeof value === "number" ? value : fallback;

/** Reads a request body; `undefined` where it is malformed. */
export const readCompletionRequest = (kind: CompletionKind, value: unknown): CompletionRequest | undefined => {
    if (typeof value !== "object" || value === null) {
        return undefined;
    }
    const body = value as RequestBody;
    const prompt = getPrompt(kind, body);
    if (prompt === undefined) {
        return undefined;
    }
    return {
        kind,
        model: typeof body.model === "string" ? body.model : "",
        prompt,
        maxTokens: toNumber(body.max_tokens ?? body.max_completion_tokens, DEFAULT_MAX_TOKENS),
        stream: body.stream === true,
        includeUsage: body.stream_options?.include_usage === true,
        priority: toNumber(body.priority, DEFAULT_PRIORITY),
    };
};
