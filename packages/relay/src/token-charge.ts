import type { GenerationRequest } from "./relay-request.js";

/** Counts the tokens that one request is charged for, by what its caller got. */
export class TokenCharge {
    private readonly firstTokensPerEvent: number | undefined;
    /** Whether the caller got a successful response that is no stream, whose output cannot be counted. */
    private hasWholeResponse = false;
    private hasWholeStream = false;

    /** `getTokensPerEvent` returns the tokens in an event of the request's service by the active desired state. */
    constructor(
        private readonly generation: GenerationRequest | undefined,
        private readonly getTokensPerEvent: () => number | undefined,
    ) {
        this.firstTokensPerEvent = getTokensPerEvent();
    }

    /** Records that the caller gets a successful response that is no stream. */
    recordWholeResponse(): void {
        this.hasWholeResponse = true;
    }

    /** Records that the caller got a complete stream. */
    recordWholeStream(): void {
        this.hasWholeStream = true;
    }

    /** Tokens to charge after a number of relayed events: the prompt and the output, once any part of the response was relayed. */
    getTokens(eventCount: number): number {
        const { generation, hasWholeResponse } = this;
        const isServed = eventCount > 0 || hasWholeResponse || this.hasWholeStream;
        if (generation === undefined || !isServed) {
            return 0;
        }
        const sizes = [this.firstTokensPerEvent, this.getTokensPerEvent()].filter(size => size !== undefined);
        const perEvent = sizes.length > 0 ? Math.max(...sizes) : undefined;
        const isCounted = perEvent !== undefined && !hasWholeResponse;
        const output = isCounted ? perEvent * eventCount : generation.maxOutputTokens;
        return generation.promptTokens + Math.min(generation.maxOutputTokens, output);
    }
}
