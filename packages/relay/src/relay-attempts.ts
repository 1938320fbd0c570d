import { ByteCollector } from "@ospreyreel/peer";
import type { ResponseHead } from "./caller-exchange.js";
import { getQuarantineReason } from "./quarantine/watched-request.js";
import type { LogFields } from "./relay-log.js";
import type { RefusalReason, RelayRefusal } from "./relay-refusal.js";
import type { AdmittedRequest, RelayOptions } from "./relay.js";
import { StreamRelay } from "./stream/stream-relay.js";
import type { RespondingTarget } from "./targets/start-check.js";
import type { TargetOutcome } from "./targets/target-port.js";
import type { BegunStream } from "./targets/target-selector.js";
import type { TargetState } from "./targets/target-state.js";
import { getStreamName } from "./versions/stream-name.js";

/** Result of a request that got a response, or whose caller no longer waits. */
export type AttemptsResult = "answered" | "streamed" | "broken" | "caller_left";

type TargetAnswer = Extract<TargetOutcome, { readonly kind: "answer"; }>;

type Step =
    | { readonly kind: "end"; readonly end: AttemptsResult | RelayRefusal; }
    /** Another target may be tried. */
    | { readonly kind: "again"; };

const RETRY_STEP: Step = { kind: "again" };

/** Maximum number of failed connection attempts for one request; none of them counts as a send. */
const MAX_FAILED_CONNECTS = 3;

/** Time after which a target that reported to be full is used again, in milliseconds. */
const FULL_BACKOFF_MS = 100;

/** Retry-after time of a refusal where no better estimate exists, in seconds. */
const DEFAULT_RETRY_AFTER_S = 0.5;

/** Shortest retry-after time where all targets are at their limits, in seconds. */
const MIN_LIMIT_RETRY_AFTER_S = 0.1;

const MS_PER_S = 1_000;

/** Maximum number of prompt parts in a log line. */
const MAX_LOGGED_PARTS = 8;

const HTTP_OK_FROM = 200;
const HTTP_OK_BELOW = 300;
const HTTP_ERROR_FROM = 500;

/** Sends one request to targets, one after the other. */
export class RelayAttempts {
    private readonly tried = new Set<string>();
    /** Targets whose limit left no send for this request. */
    private readonly limited = new Set<string>();
    private readonly stream: StreamRelay;
    /** Version of the stream that the sends have to continue. */
    private begun: BegunStream | undefined;
    /** The target that sent the first event, where it was not certain then which start of it did; undefined where that does not matter. */
    private uncertain: RespondingTarget | undefined;
    /** Resolves whether it has become known. */
    private verifying: Promise<boolean> | undefined;
    /** Sends to targets, with the one of an instance that ended before its response. */
    private sends = 0;
    private lastTarget = "";
    private failedConnects = 0;
    /** Monotonic time of the last send, in milliseconds. */
    private sentAtMs = 0;
    private mayHaveRun = false;
    /** Whether a repeat is acquired and not used. */
    private hasRepeat = false;
    /** Whether it has tried an ejected target. */
    private hasTrial = false;
    private blockedPart: string | undefined;
    private chargedTokens = 0;
    private readonly firstTokensPerEvent: number | undefined;
    /** Whether the caller got a successful response that is no stream, whose output cannot be counted. */
    private hasWholeAnswer = false;
    private hasWholeStream = false;
    /** Whether the caller's connection still holds the response. */
    private isSending = false;

    constructor(private readonly opts: RelayOptions, private readonly request: AdmittedRequest) {
        this.stream = new StreamRelay({
            caller: request.caller,
            afterEvent: request.req.lastEventId,
            held: request.held,
        });
        this.begun = request.origin;
        if (request.req.isInterrupted === true) {
            this.sends = 1;
            this.mayHaveRun = true;
            this.hasRepeat = request.req.hasRepeat === true;
        }
        this.firstTokensPerEvent = this.tokensPerEvent;
    }

    /** Summary of the sends for the request's log line. */
    get trace(): LogFields {
        return {
            target: this.lastTarget,
            sends: this.sends,
            events: this.stream.eventCount,
            ...(this.request.hold === undefined ? {} : { chargedTokens: this.chargedTokens }),
            ...(this.begun === undefined ? {} : { version: this.begun.version ?? "" }),
            ...(this.blockedPart === undefined ? {} : { part: this.blockedPart }),
        };
    }

    /** Sends the request until it gets a response or may not be sent again. */
    async run(): Promise<AttemptsResult | RelayRefusal> {
        try {
            for (;;) {
                const step = await this.sendOnce();
                if (step.kind === "end") {
                    return step.end;
                }
            }
        }
        finally {
            this.chargedTokens = this.getUsedTokens();
            this.request.hold?.settle(this.chargedTokens);
            if (!this.isSending) {
                this.request.held.release();
            }
        }
    }

    private async sendOnce(): Promise<Step> {
        const { req, admission, clock } = this.request;
        const { route, service } = admission;
        if (clock.endReason !== undefined) {
            return { kind: "end", end: this.expireRequest() };
        }
        if (this.opts.freshness.isOutdated) {
            return { kind: "end", end: this.failRequest("viewOutdated") };
        }
        const blocked = this.opts.parts.getBlockedPart(this.request.watched);
        if (blocked !== undefined) {
            this.blockedPart = blocked.part;
            return { kind: "end", end: this.failRequest(getQuarantineReason(blocked.part), blocked.retryAfterS) };
        }
        const tried = new Set([...this.tried, ...this.limited]);
        const limits = { tried, begun: this.begun, mayTry: !this.hasTrial };
        const state = this.opts.selector.select(req, route, service, limits);
        if (state === undefined) {
            return { kind: "end", end: this.failWithoutTarget() };
        }
        if (state.health.isOnTrial) {
            this.hasTrial = true;
            state.health.beginTrial(performance.now());
        }
        if (!await this.opts.permits.acquire(state)) {
            this.limited.add(state.target.id);
            return RETRY_STEP;
        }
        if (!this.acquireSend(service)) {
            this.opts.permits.release(state);
            return { kind: "end", end: this.failRequest("overloaded") };
        }
        this.tried.add(state.target.id);
        this.lastTarget = state.target.id;
        state.inFlight += 1;
        try {
            const startedAtMs = performance.now();
            this.sentAtMs = startedAtMs;
            const outcome = await this.opts.port.send({
                req,
                target: state.target,
                team: admission.team,
                leftMs: clock.leftMs,
                urgency: this.getUrgency(),
                afterEvent: this.stream.lastEventId,
                isRepeatable: this.request.isRepeatable,
                signal: clock.signal,
                mayStart: () => state.isAccepting(performance.now()),
            });
            this.opts.meter.recordSend(outcome.kind, service);
            this.opts.permits.recordOutcome(state, outcome, startedAtMs);
            return await this.handleOutcome(state, outcome, performance.now() - startedAtMs);
        }
        finally {
            state.inFlight -= 1;
            this.opts.permits.release(state);
        }
    }

    private getUrgency(): number | undefined {
        const { req, admission: { route, service, priority } } = this.request;
        return this.opts.urgency.getUrgency({
            priority,
            isMixed: this.opts.documents.current()?.hasMixedPriorities(service) === true,
            waitedMs: performance.now() - req.arrivedAtMs,
            latencyTargetMs: route.latencyTargetMs,
            isContinued: this.begun !== undefined,
        });
    }

    /** Acquires the next send; the first one of a request needs no repeat. */
    private acquireSend(service: string): boolean {
        const isAcquired = this.sends === 0 || this.hasRepeat || this.opts.getRetries(service).tryAcquire();
        this.hasRepeat = false;
        return isAcquired;
    }

    private async handleOutcome(state: TargetState, outcome: TargetOutcome, firstByteMs: number): Promise<Step> {
        switch (outcome.kind) {
            case "not_sent":
                if (this.request.clock.endReason === undefined && state.isAccepting(performance.now())) {
                    state.health.recordUnreachable(performance.now(), this.sentAtMs);
                }
                this.logSend(state, outcome.kind, outcome.cause);
                this.failedConnects += 1;
                return this.failedConnects < MAX_FAILED_CONNECTS
                    ? RETRY_STEP
                    : { kind: "end", end: this.failRequest("noTarget") };
            case "not_run":
                this.sends += 1;
                state.health.recordRejection();
                if (outcome.reason === "full") {
                    state.health.recordFull(performance.now(), FULL_BACKOFF_MS);
                }
                this.logSend(state, outcome.kind, outcome.reason);
                return this.canRetry() ? RETRY_STEP : { kind: "end", end: this.failRequest("overloaded") };
            case "failed":
                this.sends += 1;
                this.mayHaveRun = true;
                return await this.handleFailure(state, outcome.cause);
            case "answer":
                this.sends += 1;
                this.mayHaveRun = true;
                return await this.relayResponse(state, outcome, firstByteMs);
        }
    }

    private async handleFailure(state: TargetState, cause: string): Promise<Step> {
        if (this.request.clock.endReason !== undefined) {
            return { kind: "end", end: this.expireRequest() };
        }
        state.health.recordFailure(performance.now(), this.sentAtMs);
        this.logSend(state, "failed", cause);
        const isSafe = this.recordLoss(state);
        if (this.canRepeat() && await isSafe) {
            return RETRY_STEP;
        }
        return { kind: "end", end: this.failRequest("targetFailed") };
    }

    /** Records a lost send; returns whether another one is unlikely to crash its target. */
    private async recordLoss(state: TargetState): Promise<boolean> {
        const hasBegun = this.stream.eventCount > 0;
        if (!hasBegun) {
            this.opts.meter.recordEndBeforeAnswer(this.request.admission.service);
        }
        const loss = { ranMs: performance.now() - this.sentAtMs, hasBegun };
        return await this.opts.parts.recordLoss(this.request.watched, state.target, loss);
    }

    private async relayResponse(state: TargetState, answer: TargetAnswer, firstByteMs: number): Promise<Step> {
        const { head, body } = answer;
        const isOk = head.status >= HTTP_OK_FROM && head.status < HTTP_OK_BELOW;
        return isOk && this.request.admission.route.kind === "streaming"
            ? await this.relayStream(state, answer, firstByteMs)
            : await this.relayBuffered(state, head, body, firstByteMs);
    }

    private async relayStream(
        state: TargetState,
        { head, body, connectedAtMs }: TargetAnswer,
        firstByteMs: number,
    ): Promise<Step> {
        const { caller, clock } = this.request;
        const responding = { target: state.target, connectedAtMs };
        if (this.begun !== undefined && !await this.opts.starts.verify(responding)) {
            // What another version writes does not continue the stream.
            abandon(body);
            this.logSend(state, "unknown start", "the target may have started again as another version");
            return this.canRepeat() ? RETRY_STEP : { kind: "end", end: this.failRequest("versionUnavailable") };
        }
        const result = await this.stream.relay(head, body, {
            signal: clock.signal,
            onFirstEvent: () => this.recordBegun(responding),
            onEvents: () => this.recordOriginIfCertain(),
        });
        if (result.kind === "complete") {
            state.health.recordResponse(false, firstByteMs);
            caller.endStream();
            this.opts.parts.recordWhole(this.request.watched);
            this.hasWholeStream = true;
            return { kind: "end", end: "streamed" };
        }
        const isOriginKnown = this.verifyOrigin();
        if (clock.endReason === "caller_left") {
            return { kind: "end", end: "caller_left" };
        }
        const cause = result.kind === "cut" ? result.cause : "events out of order";
        if (clock.endReason === undefined && result.kind === "cut") {
            const step = await this.handleFailure(state, cause);
            if (!this.stream.isStarted || (step.kind === "again" && await isOriginKnown)) {
                return step;
            }
        }
        else if (!this.stream.isStarted) {
            return { kind: "end", end: this.expireRequest() };
        }
        this.logSend(state, "broken", cause);
        caller.abortStream();
        return { kind: "end", end: "broken" };
    }

    private recordBegun(responding: RespondingTarget): void {
        const { service, version } = responding.target;
        const isContinued = this.begun !== undefined;
        this.begun ??= { version };
        this.opts.parts.recordBegun(this.request.watched);
        if (isContinued || this.opts.starts.isCertain(responding)) {
            this.recordOrigin(responding);
        }
        else if (version !== undefined && this.request.isRepeatable) {
            this.uncertain = responding;
            if (this.opts.origins.isMixed(service)) {
                // Other instances have to know the origin before this one may be killed.
                void this.verifyOrigin();
            }
        }
    }

    private recordOrigin({ target: { service, version } }: RespondingTarget): void {
        const { req, admission } = this.request;
        if (version !== undefined) {
            this.opts.origins.recordBegun(getStreamName(admission.team, req.id), { service, version });
        }
    }

    /** Records the origin once a newer view tells it: the target's entry may be gone when the stream breaks off. */
    private recordOriginIfCertain(): void {
        const { uncertain } = this;
        if (uncertain !== undefined && this.opts.starts.isCertain(uncertain)) {
            this.uncertain = undefined;
            this.recordOrigin(uncertain);
        }
    }

    /** Finds out which version began the stream; returns whether that is known. Does not throw. */
    private async verifyOrigin(): Promise<boolean> {
        const { uncertain } = this;
        if (uncertain === undefined) {
            return true;
        }
        this.verifying ??= this.opts.starts.verify(uncertain).then(isKnown => {
            if (isKnown) {
                this.recordOrigin(uncertain);
            }
            return isKnown;
        });
        return await this.verifying;
    }

    private async relayBuffered(
        state: TargetState,
        head: ResponseHead,
        body: AsyncIterable<Buffer>,
        firstByteMs: number,
    ): Promise<Step> {
        const { caller, held } = this.request;
        const collected = new ByteCollector();
        try {
            for await (const chunk of body) {
                held.resize(collected.size + chunk.length);
                collected.add(chunk);
            }
        }
        catch (err) {
            return await this.handleFailure(state, err instanceof Error ? err.message : String(err));
        }
        const isError = head.status >= HTTP_ERROR_FROM;
        state.health.recordResponse(isError, firstByteMs);
        if (head.status >= HTTP_OK_FROM && head.status < HTTP_OK_BELOW) {
            this.opts.parts.recordBegun(this.request.watched);
            this.opts.parts.recordWhole(this.request.watched);
            this.hasWholeAnswer = true;
        }
        if (isError && !this.stream.isStarted && this.canRepeat()) {
            this.logSend(state, "error answer", String(head.status));
            return RETRY_STEP;
        }
        if (this.stream.isStarted) {
            caller.abortStream();
            return { kind: "end", end: "broken" };
        }
        this.isSending = true;
        void caller.sendResponse(head, collected.take()).then(() => held.release());
        return { kind: "end", end: "answered" };
    }

    private canRetry(): boolean {
        const { admission, clock } = this.request;
        return this.sends < admission.route.maxAttempts && clock.endReason === undefined;
    }

    private canRepeat(): boolean {
        return this.request.isRepeatable && this.canRetry();
    }

    private failWithoutTarget(): AttemptsResult | RelayRefusal {
        const { selector } = this.opts;
        const { begun, tried } = this;
        const waitMs = selector.getWaitMs(this.request.admission.service, { tried, begun });
        return waitMs === undefined
            ? this.failRequest(begun === undefined ? "noTarget" : "versionUnavailable")
            : this.failRequest("targetsLimited", Math.max(MIN_LIMIT_RETRY_AFTER_S, waitMs / MS_PER_S));
    }

    /** Ends the request without another target. Only a request that no target ran may be reported as not run. */
    private failRequest(
        reason: RefusalReason,
        retryAfterS = DEFAULT_RETRY_AFTER_S,
    ): AttemptsResult | RelayRefusal {
        if (this.stream.isStarted) {
            this.request.caller.abortStream();
            return "broken";
        }
        if (this.mayHaveRun) {
            return { reason: "targetFailed" };
        }
        return { reason: reason === "targetFailed" ? "noTarget" : reason, retryAfterS };
    }

    private expireRequest(): AttemptsResult | RelayRefusal {
        if (this.request.clock.endReason === "caller_left") {
            return "caller_left";
        }
        if (this.stream.isStarted) {
            this.request.caller.abortStream();
            return "broken";
        }
        return this.mayHaveRun
            ? { reason: "timedOut" }
            : { reason: "timedOutUnsent", retryAfterS: DEFAULT_RETRY_AFTER_S };
    }

    /** Tokens in an event of the request's service, by the active desired state. */
    private get tokensPerEvent(): number | undefined {
        return this.opts.documents.current()?.findService(this.request.admission.service)?.tokensPerEvent;
    }

    /** Tokens to charge: the prompt and the output, once any part of the answer was relayed. */
    private getUsedTokens(): number {
        const { generation } = this.request.req;
        const isServed = this.stream.eventCount > 0 || this.hasWholeAnswer || this.hasWholeStream;
        if (generation === undefined || !isServed) {
            return 0;
        }
        const sizes = [this.firstTokensPerEvent, this.tokensPerEvent].filter(size => size !== undefined);
        const perEvent = sizes.length > 0 ? Math.max(...sizes) : undefined;
        const isCounted = perEvent !== undefined && !this.hasWholeAnswer;
        const output = isCounted ? perEvent * this.stream.eventCount : generation.maxOutputTokens;
        return generation.promptTokens + Math.min(generation.maxOutputTokens, output);
    }

    private logSend(state: TargetState, outcome: string, cause: string): void {
        const { req, watched, clock } = this.request;
        this.opts.log.write("send without answer", {
            request: req.id,
            target: state.target.id,
            outcome,
            cause,
            sends: this.sends,
            events: this.stream.eventCount,
            version: state.target.version ?? "",
            parts: watched.sharedParts.slice(0, MAX_LOGGED_PARTS).join(" "),
            whole: watched.whole,
            leftMs: Math.round(clock.leftMs),
        });
    }
}

/** Ends the reading of a body that nobody has read from; a generator gives its source up only once it has begun. */
const abandon = (body: AsyncIterable<Buffer>): void => {
    const chunks = body[Symbol.asyncIterator]();
    chunks.next().then(() => chunks.return?.()).catch(() => undefined);
};
