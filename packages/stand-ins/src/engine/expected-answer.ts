import { createHash } from "node:crypto";

/** What the engine stand-in answers to a prompt. */
export interface ExpectedAnswer {
    /** Chunks of text, one for each token. */
    readonly tokens: readonly string[];
    /** The whole answer. */
    readonly text: string;
    readonly promptTokens: number;
    readonly completionTokens: number;
    readonly finishReason: "stop" | "length";
}

const MIN_HASHED_TOKENS = 8;
const HASHED_TOKENS_SPAN = 57;
const PREFIX_CHARS = 256;
const LENGTH_TAG = /(?:^|\s)len=(\d+)(?:\s|$)/;

const hashHex = (text: string): string => createHash("sha256").update(text).digest("hex");

/** Counts tokens of a prompt: one for each word, so never more than its bytes. */
export const countPromptTokens = (prompt: string): number => prompt.split(/\s+/).filter(word => word !== "").length;

/** Names the prefix of a prompt under which the engine caches it. */
export const getPrefixHash = (prompt: string): string => hashHex(prompt.slice(0, PREFIX_CHARS)).slice(0, 16);

const getFullLength = (prompt: string, hash: string): number => {
    const tag = LENGTH_TAG.exec(prompt);
    return tag === null
        ? MIN_HASHED_TOKENS + Number.parseInt(hash.slice(0, 8), 16) % HASHED_TOKENS_SPAN
        : Number(tag[1]);
};

/** Works out the one right answer to a prompt; each word carries the prompt's hash and its own position. */
export const getExpectedAnswer = (prompt: string, maxTokens: number): ExpectedAnswer => {
    const hash = hashHex(prompt);
    const fullLength = getFullLength(prompt, hash);
    const completionTokens = Math.min(fullLength, maxTokens);
    const positions = [...Array(completionTokens).keys()];
    const tokens = positions.map(i => `${i === 0 ? "" : " "}${hash.slice(0, 8)}.${i + 1}`);
    return {
        tokens,
        text: tokens.join(""),
        promptTokens: countPromptTokens(prompt),
        completionTokens,
        finishReason: fullLength > maxTokens ? "length" : "stop",
    };
};
