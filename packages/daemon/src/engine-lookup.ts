import { StreamLookup, type StreamState } from "@ospreyreel/ledger";
import type { TargetClient } from "@ospreyreel/targets";
import type { Intent } from "@ospreyreel/types";

/** Queries an intent's engine for its record of the stream. */
export class EngineLookup extends StreamLookup {
    constructor(private readonly client: TargetClient) {
        super();
    }

    override async find(intent: Intent): Promise<StreamState> {
        if (intent.targetKind !== "engine") {
            // A plain service would treat the lookup as another call.
            return { state: "unknown" };
        }
        const target = { name: intent.target, url: intent.targetUrl };
        try {
            const record = await this.client.getStreamRecord({ target, streamId: intent.streamId });
            if (record === undefined) {
                return { state: "unknown" };
            }
            if (record.state === "queued" || record.state === "running") {
                return { state: "running" };
            }
            const { promptTokens, completionTokens } = record;
            return { state: "ended", promptTokens, completionTokens };
        }
        catch {
            return { state: "unreachable" };
        }
    }
}
