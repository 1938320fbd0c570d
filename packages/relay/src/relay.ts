import type { StreamOrigin } from "@ospreyreel/types";
import { setImmediate as nextTurn } from "node:timers/promises";
import { type Admission, admit, isRepeatable } from "./admission.js";
import { OpenGate } from "./admission/open-gate.js";
import type { GatePass, RequestGate } from "./admission/request-gate.js";
import type { BudgetGate, BudgetHold } from "./budget-gate.js";
import type { CallerExchange } from "./caller-exchange.js";
import type { DocumentHolder } from "./document/document-holder.js";
import type { RequestTerms } from "./handoff/handed-off-connection.js";
import type { SecondSends } from "./hedging/second-sends.js";
import type { SendPermits } from "./limits/send-permits.js";
import type { SendObserver } from "./load/send-observer.js";
import { type HeldMessage, MAX_RESPONSE_BYTES, MessageMemory } from "./message-memory.js";
import type { OverloadGuard } from "./policy/overload-guard.js";
import type { RequestUrgency } from "./policy/request-urgency.js";
import type { RetryAllowance } from "./policy/retry-allowance.js";
import type { StopWindow } from "./policy/stop-window.js";
import type { PartGate } from "./quarantine/part-gate.js";
import { getQuarantineReason, WatchedRequest } from "./quarantine/watched-request.js";
import { type AttemptsResult, RelayAttempts } from "./relay-attempts.js";
import type { LogFields, RelayLog } from "./relay-log.js";
import {
    LEAVING_REFUSAL,
    NO_TARGET_REFUSAL,
    type RefusalReason,
    type RelayRefusal,
    withoutPromise,
} from "./relay-refusal.js";
import type { RelayRequest } from "./relay-request.js";
import { RequestClock } from "./request-clock.js";
import type { StartCheck } from "./targets/start-check.js";
import type { TargetPort } from "./targets/target-port.js";
import type { TargetSelector } from "./targets/target-selector.js";
import { getStreamName } from "./versions/stream-name.js";
import type { StreamOrigins } from "./versions/stream-origins.js";
import type { ViewFreshness } from "./watch/view-freshness.js";

/** Records metrics of requests. */
export interface RelayMeter {
    /** Records a request's result and its duration in milliseconds. */
    recordEnd(result: string, service: string, ms: number): void;
    /** Records a send to a target and its outcome. */
    recordSend(outcome: string, service: string): void;
    /** Records a send that ended after it was sent and before its answer began. */
    recordEndBeforeAnswer(service: string): void;
}

/** Options of {@link Relay}. */
export interface RelayOptions {
    readonly documents: DocumentHolder;
    readonly selector: TargetSelector;
    readonly port: TargetPort;
    /** Decides how urgent requests are to their targets. */
    readonly urgency: RequestUrgency;
    readonly budgets: BudgetGate;
    readonly getRetries: (service: string) => RetryAllowance;
    /** Decides which requests are refused while this instance is overloaded. */
    readonly overload: Pick<OverloadGuard, "getRefusal">;
    /** Tells whether the desired state and the targets known here may be too old to decide by. */
    readonly freshness: Pick<ViewFreshness, "isOutdated" | "ageMs">;
    /** Lets requests wait for targets with room; none waits by default. */
    readonly gate?: RequestGate;
    /** Keeps the sends to targets within the limits that they name. */
    readonly permits: SendPermits;
    /** Knows where streams began that callers resume. */
    readonly origins: StreamOrigins;
    /** Tells which start of a target responded. */
    readonly starts: StartCheck;
    /** Keeps requests with a prompt part that crashes targets away from them. */
    readonly parts: PartGate;
    /** Makes second sends of slow requests; undefined where they are off. */
    readonly secondSends?: SecondSends | undefined;
    /** Observes the sends to targets; undefined where nothing learns from them. */
    readonly sends?: SendObserver | undefined;
    readonly log: RelayLog;
    readonly meter: RelayMeter;
    /** Returns a random number in [0, 1). */
    readonly random: () => number;
}

/** Retry-after time where this instance's view is outdated, in seconds; other instances can serve at once. */
const OUTDATED_RETRY_AFTER_S = 0.5;

/** Time for which a request waits for a version that another instance has, in milliseconds; the watch brings it by then. */
const VERSION_WAIT_MS = 700;

/** Retry-after time where it is not known which version began a stream, in seconds; a peer may be reachable again. */
const UNKNOWN_ORIGIN_RETRY_AFTER_S = 1;

const isRefusal = (admitted: Admission | RelayRefusal): admitted is RelayRefusal => "reason" in admitted;

/** Monotonic time at which a request's time is over, in milliseconds. */
const getDeadlineMs = ({ arrivedAtMs, waitsMs }: RelayRequest, { route }: Admission): number =>
    arrivedAtMs + Math.min(route.timeoutMs, waitsMs ?? route.timeoutMs);

/** Maximum number of tokens that a request may use; 0 where it requests no generation. */
export const getMaxTokens = ({ generation }: RelayRequest): number =>
    generation === undefined ? 0 : generation.promptTokens + generation.maxOutputTokens;

/** A request with everything that was decided before its first send. */
export interface AdmittedRequest {
    readonly req: RelayRequest;
    readonly admission: Admission;
    readonly caller: CallerExchange;
    readonly clock: RequestClock;
    readonly hold: BudgetHold | undefined;
    /** Where the stream began that the request continues; undefined where it continues none. */
    readonly origin: StreamOrigin | undefined;
    readonly isRepeatable: boolean;
    /** Its pass through the gate of its service. */
    readonly pass: GatePass;
    /** What of the request may crash targets. */
    readonly watched: WatchedRequest;
    /** What is held in memory of the response. */
    readonly held: HeldMessage;
}

/** Sends each request to a target of its route and relays the response, or refuses the request. */
export class Relay {
    private open = 0;
    private acceptedAtMs = Number.NEGATIVE_INFINITY;
    private stopWindow: StopWindow | undefined;
    private readonly clocks = new Set<RequestClock>();
    private readonly memory = new MessageMemory(MAX_RESPONSE_BYTES);
    private readonly gate: RequestGate;

    constructor(private readonly opts: RelayOptions) {
        this.gate = opts.gate ?? new OpenGate();
    }

    /** Number of requests in progress. */
    get openRequests(): number {
        return this.open;
    }

    /** Monotonic time at which the last request was accepted, in milliseconds. */
    get lastAcceptedAtMs(): number {
        return this.acceptedAtMs;
    }

    /** Accepts from now on only the requests that the window allows. */
    limitTo(window: StopWindow): void {
        this.stopWindow = window;
    }

    /** Ends the requests in progress as if their time were over; returns how many there were. */
    expireOpenRequests(): number {
        const { size } = this.clocks;
        this.clocks.forEach(clock => clock.expire());
        return size;
    }

    /** Bytes of all responses that are held in memory. */
    get heldResponseBytes(): number {
        return this.memory.heldBytes;
    }

    /** Finds what holds for a request by the active desired state; undefined where that does not allow it. */
    getTerms(req: RelayRequest): RequestTerms | undefined {
        const admission = admit(this.opts.documents.current(), req, this.opts.random);
        return isRefusal(admission)
            ? undefined
            : {
                acquireRepeat: () =>
                    this.mayRepeatInterrupted(admission) && this.opts.getRetries(admission.service).tryAcquire(),
                endsAtMs: getDeadlineMs(req, admission),
            };
    }

    /** Serves one request; does not throw. */
    async serve(req: RelayRequest, caller: CallerExchange): Promise<void> {
        this.open += 1;
        try {
            await this.serveAdmitted(req, caller);
        }
        finally {
            this.open -= 1;
        }
    }

    private async serveAdmitted(req: RelayRequest, caller: CallerExchange): Promise<void> {
        if (caller.disconnectSignal.aborted) {
            this.logEnd(req, "caller_left", { sends: 0 });
            return;
        }
        const { documents, random } = this.opts;
        if (!await this.hasCurrentView(req, caller)) {
            return;
        }
        const { minVersion = 0, keepsVersion = false } = req;
        const table = keepsVersion ? documents.findOldest(minVersion) : documents.current();
        const admission = admit(table, req, random);
        if (isRefusal(admission)) {
            this.refuse(req, caller, "", admission);
            return;
        }
        const { route, service, team = "", priority } = admission;
        const deadlineMs = getDeadlineMs(req, admission);
        if (this.endInterrupted(req, caller, admission, deadlineMs)) {
            return;
        }
        const watched = new WatchedRequest(req, admission.team);
        const blocked = this.opts.parts.getBlockedPart(watched);
        if (blocked !== undefined) {
            const { part, retryAfterS } = blocked;
            this.refuse(req, caller, service, { reason: getQuarantineReason(part), retryAfterS }, { team, part });
            return;
        }
        if (req.isInterrupted !== true) {
            this.opts.getRetries(service).recordRequest();
        }
        if (!this.isAccepting(req, deadlineMs)) {
            this.refuse(req, caller, service, LEAVING_REFUSAL, { team });
            return;
        }
        this.acceptedAtMs = performance.now();
        const clock = new RequestClock(deadlineMs, caller.disconnectSignal);
        this.clocks.add(clock);
        try {
            const origin = await this.findOrigin(req, admission, clock);
            if (origin !== undefined && "reason" in origin) {
                this.refuse(req, caller, service, origin, { team, resumes: req.resumes ?? "" });
                return;
            }
            const held = await this.holdBudget(req, admission, clock, origin?.service ?? service);
            if (held !== undefined && "reason" in held) {
                this.refuse(req, caller, service, held, { team, tokens: getMaxTokens(req) });
                return;
            }
            // After the budget: a team whose budget is exhausted gets that definite refusal and does not retry.
            const retryAfterS = this.opts.overload.getRefusal(team, priority);
            if (retryAfterS !== undefined) {
                held?.settle(0);
                this.refuse(req, caller, service, { reason: "overloaded", retryAfterS }, { team, priority });
                return;
            }
            const located = origin === undefined ? admission : { ...admission, service: origin.service };
            const pass = await this.enterGate(req, caller, located, clock);
            if (pass === undefined) {
                held?.settle(0);
                return;
            }
            const request = {
                req,
                admission: located,
                origin,
                pass,
                caller,
                clock,
                hold: held,
                isRepeatable: isRepeatable(route),
                watched,
                held: this.memory.open(),
            };
            await this.sendRequest(request, service);
        }
        finally {
            this.clocks.delete(clock);
            clock.stop();
        }
    }

    /** Sends a request until it gets a response or may not be sent again. */
    private async sendRequest(request: AdmittedRequest, service: string): Promise<void> {
        const { req, caller, admission: { team = "" } } = request;
        const attempts = new RelayAttempts(this.opts, request);
        const result = await attempts.run();
        if (typeof result !== "string") {
            this.refuse(req, caller, service, result, { team, ...attempts.trace });
            return;
        }
        this.logEnd(req, result, { team, ...attempts.trace }, service);
    }

    /** Waits for room at the request's service; returns undefined where the request was refused. */
    private async enterGate(
        req: RelayRequest,
        caller: CallerExchange,
        { service, team = "", priority, route: { latencyTargetMs } }: Admission,
        clock: RequestClock,
    ): Promise<GatePass | undefined> {
        const { arrivedAtMs } = req;
        const isReturned = req.resumes !== undefined;
        const numbers = { tokens: getMaxTokens(req), arrivedAtMs, latencyTargetMs, isReturned };
        const pass = await this.gate.enter({ service, team, priority, ...numbers, clock });
        if ("refusal" in pass) {
            this.refuse(req, caller, service, pass.refusal, { team, priority, ...pass.decidedBy });
            return undefined;
        }
        return pass;
    }

    /** Ends a request that another instance may have sent before it ended, and that may not be repeated; returns whether it is one. */
    private endInterrupted(
        req: RelayRequest,
        caller: CallerExchange,
        admission: Admission,
        deadlineMs: number,
    ): boolean {
        if (req.isInterrupted !== true || this.mayRepeatInterrupted(admission)) {
            return false;
        }
        const reason = performance.now() < deadlineMs ? "targetFailed" : "timedOut";
        this.refuse(req, caller, admission.service, { reason }, { team: admission.team ?? "" });
        return true;
    }

    /** Whether a request may be sent here that another instance may have sent before it ended. */
    private mayRepeatInterrupted({ route, service }: Admission): boolean {
        // The other instance may have named another version as the one that began the stream.
        const isCertain = route.kind !== "streaming" || !this.opts.origins.isMixed(service);
        return isRepeatable(route) && route.maxAttempts > 1 && isCertain;
    }

    /** Whether the stop of this instance, or of the one that handed the connection off, leaves time for a request. */
    private isAccepting({ handedOffBy }: RelayRequest, deadlineMs: number): boolean {
        const nowMs = performance.now();
        const isAccepted = handedOffBy === undefined
            ? this.stopWindow?.isAccepting(nowMs, deadlineMs)
            : this.stopWindow?.isAcceptingForPeer(deadlineMs);
        return isAccepted !== false && handedOffBy?.stopWindow?.isAccepting(nowMs, deadlineMs) !== false;
    }

    /** Refuses a request for which this instance's view is too old; returns whether it is not. */
    private async hasCurrentView(req: RelayRequest, caller: CallerExchange): Promise<boolean> {
        const { documents, freshness } = this.opts;
        const refusal = { reason: "viewOutdated", retryAfterS: OUTDATED_RETRY_AFTER_S } as const;
        if (freshness.isOutdated) {
            this.refuse(req, caller, "", refusal, { viewAgeMs: Math.round(freshness.ageMs) });
            return false;
        }
        const { minVersion = 0 } = req;
        if (documents.version < minVersion && !await documents.waitFor(minVersion, VERSION_WAIT_MS)) {
            this.refuse(req, caller, "", refusal, { minVersion });
            return false;
        }
        return true;
    }

    /** Finds where the stream began that a request continues; returns a refusal where it can't be continued there. */
    private async findOrigin(
        req: RelayRequest,
        { route, team }: Admission,
        clock: RequestClock,
    ): Promise<StreamOrigin | RelayRefusal | undefined> {
        if (route.kind !== "streaming" || req.lastEventId === undefined) {
            return undefined;
        }
        const services = route.shares.filter(share => share.weight > 0).map(share => share.service);
        const stream = req.resumes === undefined ? undefined : getStreamName(team, req.resumes);
        const origin = await Promise.race([this.opts.origins.find({ stream, services }), clock.ended]);
        if (clock.endReason !== undefined) {
            // A request whose time has ended is not sent.
            return undefined;
        }
        if (origin === undefined) {
            return { reason: "originUnknown", retryAfterS: UNKNOWN_ORIGIN_RETRY_AFTER_S };
        }
        return services.includes(origin.service)
            ? origin
            : { reason: "versionUnavailable", retryAfterS: UNKNOWN_ORIGIN_RETRY_AFTER_S };
    }

    private async holdBudget(
        req: RelayRequest,
        admission: Admission,
        clock: RequestClock,
        service: string,
    ): Promise<BudgetHold | RelayRefusal | undefined> {
        const { generation } = req;
        if (generation === undefined || admission.team === undefined || !admission.isPrepaid) {
            return undefined;
        }
        const deciding = this.opts.budgets.hold(admission.team, getMaxTokens(req));
        // A request that no target can serve waits for no budget; what is known here is told at once.
        const decision = await Promise.race([
            deciding,
            this.opts.selector.hasTarget(service, admission.allowedRegions) ? clock.ended : nextTurn(),
        ]);
        if (decision === undefined) {
            void deciding.then(late => late.kind === "held" ? late.hold.settle(0) : undefined);
            // A request whose time has ended is not sent.
            return clock.endReason === undefined ? NO_TARGET_REFUSAL : undefined;
        }
        switch (decision.kind) {
            case "held":
                return decision.hold;
            case "exhausted":
                return { reason: "budgetExhausted" };
            case "unavailable":
                this.opts.log.write("budget not available", {
                    request: req.id,
                    team: admission.team,
                    cause: decision.cause,
                });
                return { reason: "budgetUnavailable", retryAfterS: decision.retryAfterS };
        }
    }

    private logEnd(req: RelayRequest, result: AttemptsResult, decisionFields: LogFields, service = ""): void {
        const ms = performance.now() - req.arrivedAtMs;
        this.opts.meter.recordEnd(result, service, ms);
        this.opts.log.write("request ended", {
            request: req.id,
            result,
            service,
            ...decisionFields,
            ...(req.isInterrupted === true ? { interrupted: true } : {}),
            document: this.opts.documents.version,
            ms: Math.round(ms),
        });
    }

    private refuse(
        req: RelayRequest,
        caller: CallerExchange,
        service: string,
        cause: RelayRefusal,
        decidedBy: LogFields = {},
    ): void {
        const refusal = req.isInterrupted === true ? withoutPromise(cause) : cause;
        caller.refuse(refusal);
        const ms = performance.now() - req.arrivedAtMs;
        this.opts.meter.recordEnd(refusal.reason satisfies RefusalReason, service, ms);
        this.opts.log.write("request refused", {
            request: req.id,
            reason: refusal.reason,
            service,
            ...decidedBy,
            ...(req.isInterrupted === true ? { interrupted: true, cause: cause.reason } : {}),
            document: this.opts.documents.version,
            ms: Math.round(ms),
            retryAfterS: refusal.retryAfterS ?? 0,
        });
    }
}
