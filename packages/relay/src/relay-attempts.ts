import { ByteCollector } from "@ospreyreel/peer";
import type { ResponseHead } from "./caller-exchange.js";
import { HedgedSend } from "./hedging/hedged-send.js";
import type { TargetSend } from "./hedging/target-send.js";
import { abandonBody } from "./http/abandon-body.js";
import { isServerError, isSuccess } from "./http/response-status.js";
import { getQuarantineReason } from "./quarantine/watched-request.js";
import type { LogFields } from "./relay-log.js";
import type { RefusalReason, RelayRefusal } from "./relay-refusal.js";
import type { AdmittedRequest, RelayOptions } from "./relay.js";
import { RequestSends } from "./request-sends.js";
import { StreamRelay } from "./stream/stream-relay.js";
import type { TargetOutcome } from "./targets/target-port.js";
import type { TargetState } from "./targets/target-state.js";
import { TokenCharge } from "./token-charge.js";
import { StreamBeginning } from "./versions/stream-beginning.js";
import { getStreamName } from "./versions/stream-name.js";

/** Result of a request that got a response, or whose caller no longer waits. */
export type AttemptsResult = "answered" | "streamed" | "broken" | "caller_left";

type TargetAnswer = Extract<TargetOutcome, { readonly kind: "answer"; }>;

type Step =
    | { readonly kind: "end"; readonly end: AttemptsResult | RelayRefusal; }
    /** Another target may be tried. */
    | { readonly kind: "again"; };

const RETRY_STEP: Step = { kind: "again" };

/** Retry-after time of a refusal where no better estimate exists, in seconds. */
const DEFAULT_RETRY_AFTER_S = 0.5;

/** Shortest retry-after time where all targets are at their limits, in seconds. */
const MIN_LIMIT_RETRY_AFTER_S = 0.1;

const MS_PER_S = 1_000;

/** Maximum number of targets that are looked at for one with room. */
const MAX_CHOICES = 8;

const NO_TARGETS: ReadonlySet<string> = new Set();

/** Sends one request to targets, again where a send fails, and relays the response. */
export class RelayAttempts {
    /** Targets whose limit left no send for this request. */
    private readonly limited = new Set<string>();
    private readonly stream: StreamRelay;
    private readonly beginning: StreamBeginning;
    private readonly charge: TokenCharge;
    private readonly sends: RequestSends;
    private readonly hedged: HedgedSend;
    private lastTarget = "";
    /** Whether it has tried an ejected target. */
    private hasTrial = false;
    private blockedPart: string | undefined;
    private chargedTokens = 0;
    /** Whether the caller's connection still holds the response. */
    private isSending = false;

    constructor(private readonly opts: RelayOptions, private readonly request: AdmittedRequest) {
        this.stream = new StreamRelay({
            caller: request.caller,
            afterEvent: request.req.lastEventId,
            held: request.held,
        });
        const { req, admission, origin, isRepeatable } = request;
        const { origins, starts, documents } = opts;
        this.beginning = new StreamBeginning({
            origins,
            starts,
            stream: getStreamName(admission.team, req.id),
            origin,
            isRepeatable,
        });
        this.charge = new TokenCharge(
            req.generation,
            () => documents.current()?.findService(admission.service)?.tokensPerEvent,
        );
        const { stream, beginning, limited } = this;
        this.sends = new RequestSends({ relay: opts, request, stream, beginning });
        this.hedged = new HedgedSend({ relay: opts, request, sends: this.sends, beginning, limited });
    }

    /** Summary of the sends for the request's log line. */
    get trace(): LogFields {
        const { version: begun } = this.beginning;
        return {
            target: this.lastTarget,
            sends: this.sends.count,
            events: this.stream.eventCount,
            ...(this.request.hold === undefined ? {} : { chargedTokens: this.chargedTokens }),
            ...(begun === undefined ? {} : { version: begun.version ?? "" }),
            ...this.hedged.trace,
            ...(this.blockedPart === undefined ? {} : { part: this.blockedPart }),
            ...(this.request.pass.waitedMs === 0 ? {} : { waitedMs: Math.round(this.request.pass.waitedMs) }),
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
            this.request.pass.release();
            this.chargedTokens = this.charge.getTokens(this.stream.eventCount);
            this.request.hold?.settle(this.chargedTokens);
            if (!this.isSending) {
                this.request.held.release();
            }
        }
    }

    private async sendOnce(): Promise<Step> {
        const { clock } = this.request;
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
        const { state, hasRoom } = this.selectTarget(this.limited);
        // After a rejection another full target would most likely reject the request as well.
        const isWaiting = state === undefined ? this.getLimitWaitMs() !== undefined : this.sends.count > 0 && !hasRoom;
        if (isWaiting && await this.request.pass.waitAgain(() => this.selectTarget(NO_TARGETS).hasRoom)) {
            this.limited.clear();
            return RETRY_STEP;
        }
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
        if (!this.sends.acquire()) {
            this.opts.permits.release(state);
            return { kind: "end", end: this.failRequest("overloaded") };
        }
        this.request.pass.recordSent();
        const { send, outcome } = await this.hedged.wait(this.sends.open(state));
        this.lastTarget = send.state.target.id;
        try {
            return await this.handleOutcome(send, outcome);
        }
        finally {
            send.release();
        }
    }

    /** Selects a target, one with room as far as that is known here, and tells whether it has room. */
    private selectTarget(
        limited: ReadonlySet<string>,
    ): { readonly state: TargetState | undefined; readonly hasRoom: boolean; } {
        const { req, admission: { route, service, allowedRegions: regions }, pass } = this.request;
        const tried = new Set([...this.sends.tried, ...limited]);
        const limits = { tried, begun: this.beginning.version, mayTry: !this.hasTrial, regions };
        const preferred = this.opts.selector.select(req, route, service, limits);
        let state = preferred;
        for (let choices = 1; state !== undefined && !pass.hasRoomAt(state); choices++) {
            tried.add(state.target.id);
            state = choices < MAX_CHOICES ? this.opts.selector.select(req, route, service, limits) : undefined;
        }
        return { state: state ?? preferred, hasRoom: state !== undefined };
    }

    private async handleOutcome(send: TargetSend, outcome: TargetOutcome): Promise<Step> {
        this.sends.recordOutcome(send, outcome);
        switch (outcome.kind) {
            case "not_sent":
                return this.sends.canConnect ? RETRY_STEP : { kind: "end", end: this.failRequest("noTarget") };
            case "not_run":
                return this.sends.canRetry ? RETRY_STEP : { kind: "end", end: this.failRequest("overloaded") };
            case "failed":
                return await this.handleFailure(send, outcome.cause);
            case "answer":
                return await this.relayResponse(send, outcome);
        }
    }

    private async handleFailure(send: TargetSend, cause: string): Promise<Step> {
        if (this.request.clock.endReason !== undefined) {
            return { kind: "end", end: this.expireRequest() };
        }
        this.sends.recordFailure(send, cause);
        return this.sends.canRepeat && await this.sends.isRepeatSafe
            ? RETRY_STEP
            : { kind: "end", end: this.failRequest("targetFailed") };
    }

    private async relayResponse(send: TargetSend, answer: TargetAnswer): Promise<Step> {
        const { head, body } = answer;
        return isSuccess(head) && this.request.admission.route.kind === "streaming"
            ? await this.relayStream(send, answer)
            : await this.relayBuffered(send, head, body);
    }

    private async relayStream(send: TargetSend, { head, body, connectedAtMs }: TargetAnswer): Promise<Step> {
        const { caller, clock, watched } = this.request;
        const { state } = send;
        const responding = { target: state.target, connectedAtMs };
        if (!await this.beginning.canContinueAt(responding)) {
            abandonBody(body);
            this.sends.log(state, "unknown start", "the target may have started again as another version");
            return this.sends.canRepeat ? RETRY_STEP : { kind: "end", end: this.failRequest("versionUnavailable") };
        }
        const result = await this.stream.relay(head, body, {
            signal: clock.signal,
            onFirstEvent: count => {
                send.observed?.recordEvents(count);
                this.opts.parts.recordBegun(watched);
                this.beginning.recordBegun(responding);
                this.hedged.recordFirstByte(send);
            },
            onEvents: count => {
                send.observed?.recordEvents(count);
                this.beginning.recordIfCertain();
            },
        });
        if (result.kind === "complete") {
            state.health.recordResponse(false, send.firstByteMs);
            caller.endStream();
            this.opts.parts.recordWhole(watched);
            this.charge.recordWholeStream();
            return { kind: "end", end: "streamed" };
        }
        const isOriginKnown = this.beginning.verify();
        if (clock.endReason === "caller_left") {
            return { kind: "end", end: "caller_left" };
        }
        const cause = result.kind === "cut" ? result.cause : "events out of order";
        if (clock.endReason === undefined && result.kind === "cut") {
            const step = await this.handleFailure(send, cause);
            if (!this.stream.isStarted || (step.kind === "again" && await isOriginKnown)) {
                return step;
            }
        }
        else if (!this.stream.isStarted) {
            return { kind: "end", end: this.expireRequest() };
        }
        this.sends.log(state, "broken", cause);
        caller.abortStream();
        return { kind: "end", end: "broken" };
    }

    private async relayBuffered(
        send: TargetSend,
        head: ResponseHead,
        body: AsyncIterable<Buffer>,
    ): Promise<Step> {
        const { caller, held } = this.request;
        const { state } = send;
        const collected = new ByteCollector();
        if (isSuccess(head)) {
            this.hedged.recordFirstByte(send);
        }
        try {
            for await (const chunk of body) {
                held.resize(collected.size + chunk.length);
                collected.add(chunk);
            }
        }
        catch (err) {
            return await this.handleFailure(send, err instanceof Error ? err.message : String(err));
        }
        const isError = isServerError(head);
        state.health.recordResponse(isError, send.firstByteMs);
        if (isSuccess(head)) {
            this.opts.parts.recordBegun(this.request.watched);
            this.opts.parts.recordWhole(this.request.watched);
            this.charge.recordWholeResponse();
        }
        if (isError && !this.stream.isStarted && this.sends.canRepeat) {
            this.sends.log(state, "error answer", String(head.status));
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

    /** Time until a target may get the request that is only held back by its limits, in milliseconds; undefined where none is. */
    private getLimitWaitMs(): number | undefined {
        const { sends: { tried }, beginning: { version: begun } } = this;
        const { service, allowedRegions: regions } = this.request.admission;
        return this.opts.selector.getWaitMs(service, { tried, begun, regions });
    }

    private failWithoutTarget(): AttemptsResult | RelayRefusal {
        const waitMs = this.getLimitWaitMs();
        return waitMs === undefined
            ? this.failRequest(this.beginning.version === undefined ? "noTarget" : "versionUnavailable")
            : this.failRequest("targetsLimited", Math.max(MIN_LIMIT_RETRY_AFTER_S, waitMs / MS_PER_S));
    }

    /** Ends the request without another target. Only a request that no target ran may be reported as not run. */
    private failRequest(
        reason: RefusalReason,
        retryAfterS?: number,
    ): AttemptsResult | RelayRefusal {
        if (this.stream.isStarted) {
            this.request.caller.abortStream();
            return "broken";
        }
        if (this.sends.mayHaveRun) {
            return { reason: "targetFailed" };
        }
        return {
            reason: reason === "targetFailed" ? "noTarget" : reason,
            retryAfterS: retryAfterS ?? this.request.pass.getRetryAfterS() ?? DEFAULT_RETRY_AFTER_S,
        };
    }

    private expireRequest(): AttemptsResult | RelayRefusal {
        if (this.request.clock.endReason === "caller_left") {
            return "caller_left";
        }
        if (this.stream.isStarted) {
            this.request.caller.abortStream();
            return "broken";
        }
        return this.sends.mayHaveRun
            ? { reason: "timedOut" }
            : { reason: "timedOutUnsent", retryAfterS: DEFAULT_RETRY_AFTER_S };
    }
}
