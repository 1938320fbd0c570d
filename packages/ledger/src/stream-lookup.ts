import type { Intent } from "@ospreyreel/types";

/** State of an intent's stream according to its target's own record. */
export type StreamState =
    | { readonly state: "ended"; readonly promptTokens: number; readonly completionTokens: number; }
    | { readonly state: "running" | "unknown" | "unreachable"; };

/** Reads the records of streams from their targets. */
export abstract class StreamLookup {
    /** Finds the stream of an intent. Does not throw: the state is `unreachable` where the target cannot be queried. */
    abstract find(intent: Intent): Promise<StreamState>;
}
