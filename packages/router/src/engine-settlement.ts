import type { Ledger } from "@ospreyreel/ledger";
import type { StreamRecord, TargetClient } from "@ospreyreel/targets";
import type { Counters } from "@ospreyreel/telemetry";
import type { Attempt, AttemptResult } from "./attempt.js";
import { createBill } from "./settle.js";
import { createResponseTooLargeError } from "./too-large-error.js";
import type { Usage } from "./usage.js";

/** Options of {@link EngineSettlement}. */
export interface EngineSettlementOptions {
    readonly client: TargetClient;
    readonly ledger: Ledger;
    readonly counters: Counters;
}

const STATUS_TOO_MANY = 429;
const STATUS_SERVER_ERROR = 500;
const STATUS_UNAVAILABLE = 503;

/** Ends attempts at engines: decides what is charged and billed, and which result the caller gets. */
export class EngineSettlement {
    constructor(private readonly opts: EngineSettlementOptions) {}

    /** Sends the bill to the copy holder; false if this incarnation was closed first and the bill is thus uncertain. */
    async settle(attempt: Attempt, reported: Usage | undefined): Promise<boolean> {
        const { ledger, counters } = this.opts;
        const usage = reported ?? await this.findRecord(attempt);
        const { reservation } = attempt.acknowledged;
        if (usage === undefined) {
            counters.add("answers_without_usage");
        }
        // Without reported usage the worst case is charged, since less cannot be proved.
        const chargedUsage = usage ?? { promptTokens: 0, completionTokens: reservation.tokens };
        const bill = createBill(attempt, chargedUsage, Date.now());
        // The target is done, whatever the outcome of the bill.
        attempt.slot.release("served");
        return await ledger.finish(
            attempt.acknowledged,
            chargedUsage.promptTokens + chargedUsage.completionTokens,
            bill,
        );
    }

    /** Ends an attempt that the engine rejected; the engine's record of the stream shows whether it ran. */
    async endRejected(attempt: Attempt, status: number, body: Buffer): Promise<AttemptResult> {
        const { ledger, counters } = this.opts;
        counters.add("target_refusals");
        const cause = new Error(`the target responded with status ${status}`);
        if (status >= STATUS_SERVER_ERROR && status !== STATUS_UNAVAILABLE) {
            return await this.endUnknown(attempt, false, cause);
        }
        const record = await this.findRecord(attempt);
        if (record !== undefined) {
            return await this.endUnknown(attempt, false, cause);
        }
        if (status === STATUS_UNAVAILABLE || status === STATUS_TOO_MANY) {
            return await this.endNotRun(attempt, cause);
        }
        await ledger.finish(attempt.acknowledged, 0, undefined);
        attempt.slot.release("served");
        attempt.answer.start({ status, headers: { "content-type": "application/json" } });
        attempt.answer.write(body);
        attempt.answer.end();
        return { kind: "done" };
    }

    /** Ends an attempt of which nothing reached the engine; nothing is charged. */
    async endNotRun(attempt: Attempt, cause: unknown): Promise<AttemptResult> {
        await this.opts.ledger.finish(attempt.acknowledged, 0, undefined);
        attempt.slot.release("failed");
        return { kind: "not_run", cause };
    }

    /** Ends an attempt that may have run: charges the engine's record where the run has ended, else the worst case. */
    async endUnknown(attempt: Attempt, started: boolean, cause: unknown): Promise<AttemptResult> {
        const { ledger, counters } = this.opts;
        const record = await this.findRecord(attempt);
        const tokens = record !== undefined && (record.state === "done" || record.state === "cancelled")
            ? record.promptTokens + record.completionTokens
            : attempt.acknowledged.reservation.tokens;
        counters.add("unproved_tokens", tokens);
        await ledger.finish(attempt.acknowledged, tokens, undefined);
        attempt.slot.release("failed");
        return { kind: "unknown", started, cause };
    }

    /** Ends an attempt whose response is too large: it ran, so it is billed; another attempt would run it again. */
    async endTooLarge(attempt: Attempt, cause: unknown): Promise<AttemptResult> {
        const record = await this.findRecord(attempt);
        const { tokens } = attempt.acknowledged.reservation;
        const usage = record?.state === "done" ? record : { promptTokens: 0, completionTokens: tokens };
        await this.settle(attempt, usage);
        attempt.answer.fail(createResponseTooLargeError(cause));
        return { kind: "done" };
    }

    /** Returns the engine's record of the attempt's stream; undefined where it has none or does not respond. */
    async findRecord(attempt: Attempt): Promise<StreamRecord | undefined> {
        const { slot, streamId } = attempt;
        return await this.opts.client.getStreamRecord({ target: slot.target, streamId }).catch(() => undefined);
    }
}
