/** One part of a prompt; requests with the same parts before it can share what a target keeps of it. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What a request asks a model for. */
export interface GenerationSize {
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    /** In the prompt's order; the last one belongs to the request or its session alone. */
    readonly parts: readonly PromptPart[];
}

/** A caller's request, free of how it came. */
export interface RelayRequest {
    /** Names this attempt of the caller; chosen by the caller. */
    readonly id: string;
    readonly host: string;
    readonly method: string;
    /** Path with the query. */
    readonly path: string;
    /** Headers that go to the target unchanged, as name and value. */
    readonly headers: readonly (readonly [string, string])[];
    readonly body: Buffer;
    /** Key that names the team. */
    readonly teamKey: string | undefined;
    /** Time for which the caller waits, in milliseconds from the arrival. */
    readonly waitsMs: number | undefined;
    /** Monotonic time of the arrival, in milliseconds. */
    readonly arrivedAtMs: number;
    readonly generation: GenerationSize | undefined;
    /** Id of the last event that the caller has, where it goes on with a stream. */
    readonly lastEventId: number | undefined;
}
