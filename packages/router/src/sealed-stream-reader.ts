import type { SharedResponse } from "@ospreyreel/claims";
import { OspreyError } from "@ospreyreel/errors";
import type { StreamRef } from "@ospreyreel/types";
import type { EngineAttempt } from "./engine-attempt.js";
import type { RequestContext } from "./request-context.js";
import type { TargetSlot } from "./target-gate.js";

/** Reads streams that other incarnations dispatched, for callers that retry. */
export class SealedStreamReader {
    constructor(private readonly engines: EngineAttempt) {}

    /** Writes the complete response from the engine's stream; false where the engine no longer has it. */
    async read(ctx: RequestContext, stream: StreamRef, answer: SharedResponse): Promise<boolean> {
        if (ctx.offering.kind !== "model" || !ctx.stream) {
            return false;
        }
        const target = {
            name: stream.target,
            kind: "engine",
            url: stream.targetUrl,
            availabilityZone: "",
            capacity: 1,
        } as const;
        const slot: TargetSlot = { target, release: () => undefined };
        const attempt = { ctx, slot, streamId: stream.streamId, answer };
        const result = await this.engines.resume(attempt);
        if (result.kind === "unknown" && result.started) {
            const { cause } = result;
            answer.fail(new OspreyError("the stream of the request ended early", { result: "targetFailed", cause }));
            return true;
        }
        return result.kind === "done";
    }
}
