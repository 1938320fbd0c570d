import type { AnswerHead } from "./caller-exchange.js";
import type { RelayRefusal } from "./relay-refusal.js";
import type { AdmittedRequest, RelayOptions } from "./relay.js";
import { StreamPass } from "./stream/stream-pass.js";
import type { TargetOutcome } from "./targets/target-port.js";
import type { TargetState } from "./targets/target-state.js";

/** How a request ended that was answered, or that nobody waits for any more. */
export type AttemptsEnd = "answered" | "streamed" | "broken" | "caller_left";

type Step =
    | { readonly kind: "end"; readonly end: AttemptsEnd | RelayRefusal; }
    /** Another target may be tried. */
    | { readonly kind: "again"; };

const AGAIN: Step = { kind: "again" };

/** Connections that may fail to come about for one request; none of them counts as an attempt. */
const MAX_UNREACHED = 3;

/** Time after which a target that said it is full is asked again, in milliseconds. */
const FULL_FOR_MS = 100;

/** When a place may be free, in seconds, where nothing better is known. */
const FULL_RETRY_S = 0.5;

const HTTP_OK_FROM = 200;
const HTTP_OK_BELOW = 300;
const HTTP_ERROR_FROM = 500;

/** The sends of one request, one after the other. */
export class RelayAttempts {
    private readonly tried = new Set<string>();
    private readonly stream: StreamPass;
    private sends = 0;
    private lastTarget = "";
    private unreached = 0;
    private mayHaveRun = false;

    constructor(private readonly opts: RelayOptions, private readonly request: AdmittedRequest) {
        this.stream = new StreamPass(request.caller, request.req.lastEventId);
    }

    /** What became of the sends, for the request's log line. */
    get trace(): { readonly target: string; readonly sends: number; readonly events: number; } {
        return { target: this.lastTarget, sends: this.sends, events: this.stream.eventCount };
    }

    /** Sends the request until it is answered or may not be sent again. */
    async run(): Promise<AttemptsEnd | RelayRefusal> {
        try {
            for (;;) {
                const step = await this.sendOnce();
                if (step.kind === "end") {
                    return step.end;
                }
            }
        }
        finally {
            this.request.hold?.settle(this.getUsedTokens());
        }
    }

    private async sendOnce(): Promise<Step> {
        const { req, admission, clock } = this.request;
        const { route, service } = admission;
        if (clock.ended !== undefined) {
            return { kind: "end", end: this.getEndOfTime() };
        }
        const state = this.opts.selector.select(req, route, service, this.tried);
        if (state === undefined) {
            return { kind: "end", end: this.giveUp("noTarget") };
        }
        if (this.sends > 0 && !this.opts.getRetries(service).tryTake()) {
            return { kind: "end", end: this.giveUp("overloaded") };
        }
        this.tried.add(state.target.id);
        this.lastTarget = state.target.id;
        state.inFlight += 1;
        try {
            const startedAtMs = performance.now();
            const outcome = await this.opts.port.send({
                req,
                target: state.target,
                team: admission.team,
                leftMs: clock.leftMs,
                urgency: undefined,
                afterEvent: this.stream.lastEventId,
                isRepeatable: this.request.repeatable,
                signal: clock.signal,
            });
            this.opts.meter.noteSend(outcome.kind, service);
            return await this.judge(state, outcome, performance.now() - startedAtMs);
        }
        finally {
            state.inFlight -= 1;
        }
    }

    private async judge(state: TargetState, outcome: TargetOutcome, firstByteMs: number): Promise<Step> {
        switch (outcome.kind) {
            case "not_sent":
                if (this.request.clock.ended === undefined) {
                    state.health.noteUnreachable(performance.now());
                }
                this.logSend(state, outcome.kind, outcome.cause);
                this.unreached += 1;
                return this.unreached < MAX_UNREACHED ? AGAIN : { kind: "end", end: this.giveUp("noTarget") };
            case "not_run":
                this.sends += 1;
                if (outcome.reason === "full") {
                    state.health.noteFull(performance.now(), FULL_FOR_MS);
                }
                this.logSend(state, outcome.kind, outcome.reason);
                return this.mayTryAgain() ? AGAIN : { kind: "end", end: this.giveUp("overloaded") };
            case "failed":
                this.sends += 1;
                this.mayHaveRun = true;
                return this.judgeFailure(state, outcome.cause);
            case "answer":
                this.sends += 1;
                this.mayHaveRun = true;
                return await this.passOn(state, outcome.head, outcome.body, firstByteMs);
        }
    }

    private judgeFailure(state: TargetState, cause: string): Step {
        if (this.request.clock.ended !== undefined) {
            return { kind: "end", end: this.getEndOfTime() };
        }
        state.health.noteFailure(performance.now());
        this.logSend(state, "failed", cause);
        if (this.request.repeatable && this.mayTryAgain()) {
            return AGAIN;
        }
        return { kind: "end", end: this.giveUp("targetFailed") };
    }

    private async passOn(
        state: TargetState,
        head: AnswerHead,
        body: AsyncIterable<Buffer>,
        firstByteMs: number,
    ): Promise<Step> {
        const isOk = head.status >= HTTP_OK_FROM && head.status < HTTP_OK_BELOW;
        return isOk && this.request.admission.route.kind === "streaming"
            ? await this.passStream(state, head, body, firstByteMs)
            : await this.passWhole(state, head, body, firstByteMs);
    }

    private async passStream(
        state: TargetState,
        head: AnswerHead,
        body: AsyncIterable<Buffer>,
        firstByteMs: number,
    ): Promise<Step> {
        const { caller, clock } = this.request;
        const result = await this.stream.pass(head, body);
        if (result.kind === "complete") {
            state.health.noteAnswer(false, firstByteMs);
            caller.endStream();
            return { kind: "end", end: "streamed" };
        }
        if (clock.ended === "caller_left") {
            return { kind: "end", end: "caller_left" };
        }
        const cause = result.kind === "cut" ? result.cause : "events out of order";
        if (clock.ended === undefined && result.kind === "cut") {
            const step = this.judgeFailure(state, cause);
            if (step.kind === "again" || !this.stream.isStarted) {
                return step;
            }
        }
        else if (!this.stream.isStarted) {
            return { kind: "end", end: this.getEndOfTime() };
        }
        this.logSend(state, "broken", cause);
        caller.breakStream();
        return { kind: "end", end: "broken" };
    }

    private async passWhole(
        state: TargetState,
        head: AnswerHead,
        body: AsyncIterable<Buffer>,
        firstByteMs: number,
    ): Promise<Step> {
        const chunks: Buffer[] = [];
        try {
            for await (const chunk of body) {
                chunks.push(chunk);
            }
        }
        catch (err) {
            return this.judgeFailure(state, err instanceof Error ? err.message : String(err));
        }
        const isError = head.status >= HTTP_ERROR_FROM;
        state.health.noteAnswer(isError, firstByteMs);
        if (isError && !this.stream.isStarted && this.request.repeatable && this.mayTryAgain()) {
            this.logSend(state, "error answer", String(head.status));
            return AGAIN;
        }
        if (this.stream.isStarted) {
            this.request.caller.breakStream();
            return { kind: "end", end: "broken" };
        }
        this.request.caller.sendWhole(head, Buffer.concat(chunks));
        return { kind: "end", end: "answered" };
    }

    private mayTryAgain(): boolean {
        const { admission, clock } = this.request;
        return this.sends < admission.route.maxAttempts && clock.ended === undefined;
    }

    /** The answer where no further target is tried. Only a request that no target has run may be promised as such. */
    private giveUp(reason: "noTarget" | "overloaded" | "targetFailed"): AttemptsEnd | RelayRefusal {
        if (this.stream.isStarted) {
            this.request.caller.breakStream();
            return "broken";
        }
        if (this.mayHaveRun) {
            return { reason: "targetFailed" };
        }
        return { reason: reason === "targetFailed" ? "noTarget" : reason, retryAfterS: FULL_RETRY_S };
    }

    private getEndOfTime(): AttemptsEnd | RelayRefusal {
        if (this.request.clock.ended === "caller_left") {
            return "caller_left";
        }
        if (this.stream.isStarted) {
            this.request.caller.breakStream();
            return "broken";
        }
        return this.mayHaveRun ? { reason: "timedOut" } : { reason: "timedOutUnsent", retryAfterS: FULL_RETRY_S };
    }

    /** Tokens to charge: the prompt once it may have run, and what was passed on of the output. */
    private getUsedTokens(): number {
        const { req, admission } = this.request;
        const { generation } = req;
        if (generation === undefined || !this.mayHaveRun) {
            return 0;
        }
        const perEvent = this.opts.documents.current()?.findService(admission.service)?.tokensPerEvent;
        const output = perEvent === undefined ? generation.maxOutputTokens : perEvent * this.stream.eventCount;
        return generation.promptTokens + Math.min(generation.maxOutputTokens, output);
    }

    private logSend(state: TargetState, outcome: string, cause: string): void {
        this.opts.log.write("send without answer", {
            request: this.request.req.id,
            target: state.target.id,
            outcome,
            cause,
            sends: this.sends,
            leftMs: Math.round(this.request.clock.leftMs),
        });
    }
}
