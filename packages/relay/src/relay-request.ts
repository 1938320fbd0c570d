import type { StopWindow } from "./policy/stop-window.js";

/** One part of a prompt; requests with the same preceding parts can share a target's cached state of it. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Prompt and maximum output of a request to a model. */
export interface GenerationRequest {
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    /** In the prompt's order; the last one is specific to the request or its session. */
    readonly parts: readonly PromptPart[];
}

/** A caller's request, independent of the protocol it arrived in. */
export interface RelayRequest {
    /** Id of this attempt, chosen by the caller. */
    readonly id: string;
    readonly host: string;
    readonly method: string;
    /** Path with the query. */
    readonly path: string;
    /** Headers that are sent to the target unchanged; each is a name and a value. */
    readonly headers: readonly (readonly [string, string])[];
    readonly body: Buffer;
    /** Key that identifies the team. */
    readonly teamKey: string | undefined;
    /** Time for which the caller waits after the arrival, in milliseconds. */
    readonly waitsMs: number | undefined;
    /** Monotonic time of the arrival, in milliseconds. */
    readonly arrivedAtMs: number;
    readonly generation: GenerationRequest | undefined;
    /** Id of the last event that the caller received; set where it resumes a stream. */
    readonly lastEventId: number | undefined;
    /** Id of the attempt that began the resumed stream; undefined where the caller names no valid one. */
    readonly resumes: string | undefined;
    /** Oldest version of the desired state by which it may be decided; undefined where any may. */
    readonly minVersion?: number | undefined;
    /** Whether the oldest such version decides: the instance through which the request came has no newer one yet. */
    readonly keepsVersion?: boolean;
    /** Whether another instance that ended before its response may have sent it to a target. */
    readonly isInterrupted?: boolean;
    /** Whether a repeat was acquired for it. */
    readonly hasRepeat?: boolean;
    /** Set where the request came on a connection that a peer has handed off. */
    readonly handedOffBy?: HandedOffBy;
}

/** The peer that handed a request's connection off. */
export interface HandedOffBy {
    /** Which requests are accepted until the peer ends; undefined where it is not stopping. */
    readonly stopWindow: Pick<StopWindow, "isAccepting"> | undefined;
}

/** Maximum number of prompt parts of one request that are watched, beside the whole request; limits what a long prompt costs. */
const MAX_SHARED_PARTS = 63;

/** Ids of the prompt parts that other requests may have too: all but the last one, each once. */
export const getSharedParts = ({ generation }: Pick<RelayRequest, "generation">): readonly string[] => [
    ...new Set(generation?.parts.slice(0, -1).slice(0, MAX_SHARED_PARTS).map(part => part.id)),
];
