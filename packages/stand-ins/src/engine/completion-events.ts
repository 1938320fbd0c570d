import type { EngineStream } from "./engine-stream.js";

/** Data of the event that ends a whole answer. */
export const END_MARK = "[DONE]";

const createUsage = (stream: EngineStream): Readonly<Record<string, number>> => ({
    prompt_tokens: stream.answer.promptTokens,
    completion_tokens: stream.produced,
    total_tokens: stream.answer.promptTokens + stream.produced,
});

const createChunk = (stream: EngineStream, choices: readonly unknown[], usage?: unknown): string =>
    JSON.stringify({
        id: stream.id,
        object: stream.req.kind === "chat" ? "chat.completion.chunk" : "text_completion",
        model: stream.req.model,
        choices,
        ...(usage === undefined ? {} : { usage }),
    });

const createTextChunk = (stream: EngineStream, text: string, finishReason: string | null): string => {
    const content = stream.req.kind === "chat"
        ? { delta: finishReason === null ? { role: "assistant", content: text } : {} }
        : { text };
    return createChunk(stream, [{ index: 0, ...content, finish_reason: finishReason }]);
};

/** Data of event `n` (from 1) of a streamed answer; `undefined` while it is not there yet. */
export const getEventData = (stream: EngineStream, n: number): string | undefined => {
    const { tokens, finishReason } = stream.answer;
    if (n <= stream.produced) {
        return createTextChunk(stream, tokens[n - 1] as string, null);
    }
    if (stream.state !== "done") {
        return undefined;
    }
    const tail = [createTextChunk(stream, "", finishReason)];
    if (stream.req.includeUsage) {
        tail.push(createChunk(stream, [], createUsage(stream)));
    }
    tail.push(END_MARK);
    return tail[n - tokens.length - 1];
};

/** The whole answer as one body. */
export const createWholeAnswer = (stream: EngineStream): unknown => {
    const { text, finishReason } = stream.answer;
    const content = stream.req.kind === "chat" ? { message: { role: "assistant", content: text } } : { text };
    return {
        id: stream.id,
        object: stream.req.kind === "chat" ? "chat.completion" : "text_completion",
        model: stream.req.model,
        choices: [{ index: 0, ...content, finish_reason: finishReason }],
        usage: createUsage(stream),
    };
};
