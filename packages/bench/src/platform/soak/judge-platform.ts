import { MODEL_EVENTS, MODEL_TOKENS, MODEL_TOKENS_EACH, type PlatformFleet } from "../platform-fleet.js";
import type { PlatformCall } from "./platform-call.js";

/** What a verdict is made from. */
export interface PlatformEvidence {
    readonly fleet: Pick<PlatformFleet, "ran">;
    readonly calls: readonly PlatformCall[];
    /** Most tokens that the team had ever prepaid. */
    readonly prepaid: number;
    readonly exitCodes: readonly (number | undefined)[];
    /** Instances that did not serve all kinds of requests by the newest desired state some time after the last fault. */
    readonly notRecovered: readonly string[];
}

/** Whether all promises were kept; a violation counts how often it was seen. */
export interface PlatformVerdict {
    readonly ok: boolean;
    readonly violations: Readonly<Record<string, number>>;
    readonly figures: Readonly<Record<string, number>>;
}

/** Statuses of the instance's own that say that nothing has run. */
const NOT_RUN = [401, 402, 404, 503];

const getEvents = (body: string): readonly string[] => body.match(/^id: \d+\ndata: .*$/gm) ?? [];

const isWhole = ({ kind, id, answer: { body } }: PlatformCall): boolean => {
    if (kind !== "model") {
        return body === `answer to ${id}`;
    }
    const expected = [...Array(MODEL_EVENTS).keys()].map(at => `id: ${at + 1}\ndata: ${id}`);
    return getEvents(body).join("|") === expected.join("|");
};

/** Tokens that a caller certainly got: the prompt's once, and each event's. */
const getTokens = ({ promptTokens, answer: { status, body } }: PlatformCall): number => {
    const events = getEvents(body).length;
    return status === 200 && events > 0 ? promptTokens + Math.min(MODEL_TOKENS, events * MODEL_TOKENS_EACH) : 0;
};

/** Compares what targets ran with what callers saw. */
export const judgePlatform = (
    { fleet, calls, prepaid, exitCodes, notRecovered }: PlatformEvidence,
): PlatformVerdict => {
    const runs = new Map<string, number>();
    fleet.ran.forEach(({ id }) => runs.set(id, (runs.get(id) ?? 0) + 1));
    const answered = calls.filter(call => call.answer.status === 200);
    const got = answered.filter(call => call.kind === "model").reduce((sum, call) => sum + getTokens(call), 0);
    const violations = {
        overspentTokens: Math.max(0, got - prepaid),
        answersNotWhole: answered.filter(call => !isWhole(call)).length,
        ranTwice: calls.filter(call => call.kind === "once" && (runs.get(call.id) ?? 0) > 1).length,
        ranThoughNotRun:
            calls.filter(call =>
                call.kind === "once" && NOT_RUN.includes(call.answer.status) && (runs.get(call.id) ?? 0) > 0
            ).length,
        withoutTimeToComeBack: calls.filter(({ answer }) => answer.status === 503 && answer.retryAfterS === undefined)
            .length,
        stopsThatFailed: exitCodes.filter(code => code !== 0).length,
        notRecovered: notRecovered.length,
    };
    const figures = {
        calls: calls.length,
        answered: answered.length,
        refused: calls.filter(call => call.answer.status === 503).length,
        exhausted: calls.filter(call => call.answer.status === 402).length,
        broken: calls.filter(call => call.answer.status === 0).length,
        gotTokens: got,
        prepaidTokens: prepaid,
    };
    return { ok: Object.values(violations).every(count => count === 0), violations, figures };
};
