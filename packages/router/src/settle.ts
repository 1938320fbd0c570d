import { OspreyError } from "@ospreyreel/errors";
import type { Bill } from "@ospreyreel/types";
import type { Attempt, AttemptResult } from "./attempt.js";
import type { Usage } from "./usage.js";

/** Creates the bill of an attempt whose usage is known. */
export const createBill = (attempt: Attempt, usage: Usage, nowMs: number): Bill => {
    const { ctx, acknowledged, slot, streamId } = attempt;
    const { name: target, url: targetUrl } = slot.target;
    return {
        ...(ctx.offering.kind === "model"
            ? { stream: { target, targetUrl, streamId, fingerprint: ctx.fingerprint } }
            : {}),
        requestKey: ctx.requestKey,
        team: ctx.team.name,
        budget: ctx.team.budget,
        offering: ctx.offering.name,
        promptTokens: usage.promptTokens,
        completionTokens: usage.completionTokens,
        incarnation: acknowledged.reservation.session.incarnation,
        finishedAtMs: nowMs,
    };
};

/**
 * Returns the result of an attempt whose response is complete but whose bill is not certain, since this incarnation was
 * closed in the meantime. The end mark is withheld, so that the caller retries and gets the response of the run that is
 * billed.
 */
export const createUnbilledResult = (started: boolean): AttemptResult => ({
    kind: "unknown",
    started,
    cause: new OspreyError("this incarnation was closed before the bill was stored", { result: "ledgerUnavailable" }),
});
