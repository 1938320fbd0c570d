/** Tokens of one completion as the engine reports them. */
export interface Usage {
    readonly promptTokens: number;
    readonly completionTokens: number;
}

interface UsageBody {
    readonly usage?: { readonly prompt_tokens?: unknown; readonly completion_tokens?: unknown; } | null;
    readonly choices?: readonly unknown[];
}

const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

/** Parses data from an engine, which may not be JSON. */
const parseBody = (json: string): UsageBody | null | undefined => {
    try {
        return JSON.parse(json) as UsageBody | null;
    }
    catch {
        return undefined;
    }
};

/** Returns the usage of a response body or event; undefined where it has none. */
export const parseUsage = (json: string): Usage | undefined => {
    const body = parseBody(json);
    const promptTokens = body?.usage?.prompt_tokens;
    const completionTokens = body?.usage?.completion_tokens;
    return isCount(promptTokens) && isCount(completionTokens) ? { promptTokens, completionTokens } : undefined;
};

/** Whether an event has usage only, as the last one before the end mark does. */
export const isUsageOnly = (json: string): boolean => {
    const choices = parseBody(json)?.choices;
    return Array.isArray(choices) && choices.length === 0;
};
