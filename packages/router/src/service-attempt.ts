import { hasResult } from "@ospreyreel/errors";
import type { Ledger } from "@ospreyreel/ledger";
import type { TargetCall, TargetClient, TargetResponse } from "@ospreyreel/targets";
import type { Counters } from "@ospreyreel/telemetry";
import type { Attempt, AttemptResult } from "./attempt.js";
import { createBill, createUnbilledResult } from "./settle.js";
import { createResponseTooLargeError } from "./too-large-error.js";

const STATUS_SERVER_ERROR = 500;

/** Options of {@link ServiceAttempt}. */
export interface ServiceAttemptOptions {
    readonly client: TargetClient;
    readonly ledger: Ledger;
    readonly counters: Counters;
}

/** Sends one call to a plain service. */
export class ServiceAttempt {
    constructor(private readonly opts: ServiceAttemptOptions) {}

    /** Runs one attempt; a response with any status comes from the service and is billed. */
    async run(attempt: Attempt): Promise<AttemptResult> {
        const { slot, answer } = attempt;
        try {
            const res = await this.send(attempt);
            slot.release(res.status >= STATUS_SERVER_ERROR ? "failed" : "served");
            if (!await this.bill(attempt)) {
                return createUnbilledResult(false);
            }
            const type = res.headers["content-type"] ?? "application/octet-stream";
            answer.start({
                status: res.status,
                headers: { "content-type": type, "content-length": String(res.body.length) },
            });
            answer.write(res.body);
            answer.end();
            return { kind: "done" };
        }
        catch (cause) {
            return hasResult(cause, "answerTooLarge")
                ? await this.endTooLarge(attempt, cause)
                : await this.endFailed(attempt, cause);
        }
    }

    private async send({ ctx, slot, streamId }: Attempt): Promise<TargetResponse> {
        return await this.opts.client.call({
            target: slot.target,
            method: ctx.method as NonNullable<TargetCall["method"]>,
            path: ctx.targetPath,
            headers: { "content-type": ctx.contentType },
            body: ctx.body.length === 0 ? undefined : ctx.body,
            streamId,
            headersTimeoutMs: Math.max(1, ctx.deadlineMs - Date.now()),
        });
    }

    /** Sends the bill to the copy holder; false if this incarnation was closed first and the bill is thus uncertain. */
    private async bill(attempt: Attempt): Promise<boolean> {
        const { tokens } = attempt.acknowledged.reservation;
        const bill = createBill(attempt, { promptTokens: 0, completionTokens: tokens }, Date.now());
        return await this.opts.ledger.finish(attempt.acknowledged, tokens, bill);
    }

    /** Ends a call whose response is too large: it ran and costs the same; another attempt would run it again. */
    private async endTooLarge(attempt: Attempt, cause: unknown): Promise<AttemptResult> {
        attempt.slot.release("served");
        await this.bill(attempt);
        attempt.answer.fail(createResponseTooLargeError(cause));
        return { kind: "done" };
    }

    private async endFailed({ acknowledged, slot }: Attempt, cause: unknown): Promise<AttemptResult> {
        const { ledger, counters } = this.opts;
        const notRun = hasResult(cause, "noTarget");
        const tokens = notRun ? 0 : acknowledged.reservation.tokens;
        counters.add("unproved_tokens", tokens);
        await ledger.finish(acknowledged, tokens, undefined);
        slot.release("failed");
        return notRun ? { kind: "not_run", cause } : { kind: "unknown", started: false, cause };
    }
}
