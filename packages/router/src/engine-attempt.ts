import { hasResult } from "@ospreyreel/errors";
import type { Ledger } from "@ospreyreel/ledger";
import { END_MARK, type TargetClient, type TargetEvent, type TargetStream } from "@ospreyreel/targets";
import type { Counters } from "@ospreyreel/telemetry";
import { setTimeout as sleep } from "node:timers/promises";
import type { Attempt, AttemptResult } from "./attempt.js";
import { EngineSettlement } from "./engine-settlement.js";
import { createUnbilledResult } from "./settle.js";
import { isUsageOnly, parseUsage, type Usage } from "./usage.js";

/** Options of {@link EngineAttempt}. */
export interface EngineAttemptOptions {
    readonly client: TargetClient;
    readonly ledger: Ledger;
    readonly counters: Counters;
    /** Longest time without data within a stream, in milliseconds; 30,000 by default. */
    readonly idleTimeoutMs?: number;
}

const DEFAULT_IDLE_TIMEOUT_MS = 30_000;
const MAX_RESUMES = 3;
const RESUME_DELAY_MS = 200;
const STATUS_OK = 200;

/** Progress of a stream: the last event read and the usage reported so far. */
class StreamProgress {
    lastSeen: TargetEvent | undefined;
    usage: Usage | undefined;
}

/** Sends a model request to an engine and streams its response; resumes the same stream after a disconnect. */
export class EngineAttempt {
    private readonly settlement: EngineSettlement;

    constructor(private readonly opts: EngineAttemptOptions) {
        this.settlement = new EngineSettlement(opts);
    }

    /** Runs one attempt; the copy holder has the bill before the end mark is written. */
    async run(attempt: Attempt): Promise<AttemptResult> {
        return attempt.ctx.stream ? await this.runStream(attempt) : await this.runNonStreaming(attempt);
    }

    /** Reads a stream that another incarnation dispatched, from its beginning; the resolver creates the bill. */
    async resume(attempt: Omit<Attempt, "acknowledged">): Promise<AttemptResult> {
        const progress = new StreamProgress();
        try {
            const stream = await this.resumeStream(attempt, progress);
            if (stream.status !== STATUS_OK) {
                return { kind: "unknown", started: false, cause: undefined };
            }
            attempt.answer.start({ status: STATUS_OK, headers: { "content-type": "text/event-stream" } });
            await this.copyEvents(attempt, stream, progress);
            attempt.answer.write(Buffer.from(`data: ${END_MARK}\n\n`));
            attempt.answer.end();
            return { kind: "done" };
        }
        catch (cause) {
            return { kind: "unknown", started: progress.lastSeen !== undefined, cause };
        }
    }

    private async runStream(attempt: Attempt): Promise<AttemptResult> {
        const progress = new StreamProgress();
        let stream: TargetStream;
        try {
            stream = await this.openStream(attempt);
        }
        catch (err) {
            if (hasResult(err, "noTarget")) {
                return await this.settlement.endNotRun(attempt, err);
            }
            return await this.recover(attempt, progress, err);
        }
        if (stream.status !== STATUS_OK) {
            return await this.settlement.endRejected(attempt, stream.status, stream.errorBody);
        }
        attempt.answer.start({ status: STATUS_OK, headers: { "content-type": "text/event-stream" } });
        try {
            await this.copyEvents(attempt, stream, progress);
        }
        catch (err) {
            return await this.recover(attempt, progress, err);
        }
        return await this.completeStream(attempt, progress);
    }

    private async openStream(attempt: Attempt): Promise<TargetStream> {
        const { ctx, slot, streamId } = attempt;
        return await this.opts.client.openStream({
            target: slot.target,
            path: ctx.targetPath,
            body: ctx.body.toString("utf8"),
            streamId,
            headersTimeoutMs: Math.max(1, ctx.deadlineMs - Date.now()),
            bodyTimeoutMs: this.opts.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS,
        });
    }

    private async resumeStream(
        attempt: Omit<Attempt, "acknowledged">,
        progress: StreamProgress,
    ): Promise<TargetStream> {
        return await this.opts.client.resumeStream({
            target: attempt.slot.target,
            streamId: attempt.streamId,
            from: (progress.lastSeen?.id ?? 0) + 1,
            lastSeen: progress.lastSeen,
            bodyTimeoutMs: this.opts.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS,
        });
    }

    private async copyEvents(
        attempt: Omit<Attempt, "acknowledged">,
        stream: TargetStream,
        progress: StreamProgress,
    ): Promise<void> {
        for await (const event of stream.events) {
            if (event.data === END_MARK) {
                return;
            }
            progress.lastSeen = event;
            progress.usage = parseUsage(event.data) ?? progress.usage;
            if (attempt.ctx.wantsUsage || !isUsageOnly(event.data)) {
                attempt.answer.write(Buffer.from(`data: ${event.data}\n\n`));
            }
        }
    }

    /** Resumes the same stream after a disconnect; the engine retains it for a while. */
    private async recover(attempt: Attempt, progress: StreamProgress, cause: unknown): Promise<AttemptResult> {
        let lastError = cause;
        for (let resumes = 0; resumes < MAX_RESUMES; resumes++) {
            this.opts.counters.add("stream_resumes");
            try {
                const stream = await this.resumeStream(attempt, progress);
                if (stream.status !== STATUS_OK) {
                    break;
                }
                if (progress.lastSeen === undefined) {
                    attempt.answer.start({ status: STATUS_OK, headers: { "content-type": "text/event-stream" } });
                }
                await this.copyEvents(attempt, stream, progress);
                return await this.completeStream(attempt, progress);
            }
            catch (err) {
                lastError = err;
                await sleep(RESUME_DELAY_MS);
            }
        }
        return await this.settlement.endUnknown(attempt, progress.lastSeen !== undefined, lastError);
    }

    private async runNonStreaming(attempt: Attempt): Promise<AttemptResult> {
        const { ctx, slot, streamId, answer } = attempt;
        let lastError: unknown;
        // Posting the same stream id again returns the same run while the engine retains it.
        for (let tries = 0; tries <= MAX_RESUMES; tries++) {
            try {
                const res = await this.opts.client.call({
                    target: slot.target,
                    method: "POST",
                    path: ctx.targetPath,
                    headers: { "content-type": "application/json" },
                    body: ctx.body,
                    streamId,
                });
                if (res.status !== STATUS_OK) {
                    // A rejected repeat does not show whether the first post ran.
                    return lastError === undefined
                        ? await this.settlement.endRejected(attempt, res.status, res.body)
                        : await this.settlement.endUnknown(attempt, false, lastError);
                }
                const progress = new StreamProgress();
                progress.usage = parseUsage(res.body.toString("utf8"));
                if (!await this.settlement.settle(attempt, progress.usage)) {
                    return createUnbilledResult(false);
                }
                const headers = { "content-type": "application/json", "content-length": String(res.body.length) };
                answer.start({ status: res.status, headers });
                answer.write(res.body);
                answer.end();
                return { kind: "done" };
            }
            catch (err) {
                if (hasResult(err, "answerTooLarge")) {
                    return await this.settlement.endTooLarge(attempt, err);
                }
                if (hasResult(err, "noTarget") && lastError === undefined) {
                    return await this.settlement.endNotRun(attempt, err);
                }
                lastError = err;
                await sleep(RESUME_DELAY_MS);
            }
            if (!(await this.canRepeatPost(attempt))) {
                break;
            }
        }
        return await this.settlement.endUnknown(attempt, false, lastError);
    }

    /** Whether a repeated post returns the same run; an engine without a record of it would run it again. */
    private async canRepeatPost(attempt: Attempt): Promise<boolean> {
        const record = await this.settlement.findRecord(attempt);
        return record !== undefined && record.state !== "cancelled";
    }

    private async completeStream(attempt: Attempt, progress: StreamProgress): Promise<AttemptResult> {
        if (!await this.settlement.settle(attempt, progress.usage)) {
            return createUnbilledResult(true);
        }
        attempt.answer.write(Buffer.from(`data: ${END_MARK}\n\n`));
        attempt.answer.end();
        return { kind: "done" };
    }
}
