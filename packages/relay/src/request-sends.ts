import { TargetSend } from "./hedging/target-send.js";
import type { AdmittedRequest, RelayOptions } from "./relay.js";
import type { StreamRelay } from "./stream/stream-relay.js";
import type { TargetOutcome } from "./targets/target-port.js";
import type { TargetState } from "./targets/target-state.js";
import type { StreamBeginning } from "./versions/stream-beginning.js";

/** Options of {@link RequestSends}. */
export interface RequestSendsOptions {
    readonly relay: RelayOptions;
    readonly request: AdmittedRequest;
    readonly stream: StreamRelay;
    readonly beginning: StreamBeginning;
}

/** Maximum number of failed connection attempts for one request; none of them counts as a send. */
const MAX_FAILED_CONNECTS = 3;

/** Time after which a target that reported to be full is used again, in milliseconds. */
const FULL_BACKOFF_MS = 100;

/** Maximum number of prompt parts in a log line. */
const MAX_LOGGED_PARTS = 8;

/** Makes and counts the sends of one request, and records their failures. */
export class RequestSends {
    private readonly triedIds = new Set<string>();
    private sends = 0;
    private failedConnects = 0;
    private mayRun = false;
    /** Whether a repeat is acquired and not used. */
    private hasRepeat = false;
    private isSafe: Promise<boolean> = Promise.resolve(true);

    constructor(private readonly opts: RequestSendsOptions) {
        const { isInterrupted, hasRepeat } = opts.request.req;
        if (isInterrupted === true) {
            this.sends = 1;
            this.mayRun = true;
            this.hasRepeat = hasRepeat === true;
        }
    }

    /** Sends to targets that have ended, with the one of an instance that ended before its response. */
    get count(): number {
        return this.sends;
    }

    /** Whether a target may have run the request. */
    get mayHaveRun(): boolean {
        return this.mayRun;
    }

    /** Ids of the targets that it was sent to. */
    get tried(): ReadonlySet<string> {
        return this.triedIds;
    }

    /** Resolves whether another send is unlikely to crash its target, after those that were lost. */
    get isRepeatSafe(): Promise<boolean> {
        return this.isSafe;
    }

    /** Whether a send that did not run may be followed by another one. */
    get canRetry(): boolean {
        const { admission, clock } = this.opts.request;
        return this.sends < admission.route.maxAttempts && clock.endReason === undefined;
    }

    /** Whether a send that may have run may be followed by another one. */
    get canRepeat(): boolean {
        return this.opts.request.isRepeatable && this.canRetry;
    }

    /** Whether a second send may be made beside one that is on its way. */
    get canSendBeside(): boolean {
        const { request, stream } = this.opts;
        return request.isRepeatable && !stream.isStarted && this.sends + 1 < request.admission.route.maxAttempts;
    }

    /** Whether another target may be connected to after those that could not be. */
    get canConnect(): boolean {
        return this.failedConnects < MAX_FAILED_CONNECTS;
    }

    /** Acquires the next send; the first one of a request needs no repeat. */
    acquire(): boolean {
        const { relay, request: { admission: { service } } } = this.opts;
        const isAcquired = this.sends === 0 || this.hasRepeat || relay.getRetries(service).tryAcquire();
        this.hasRepeat = false;
        return isAcquired;
    }

    /** Sends the request to a target for which a permit is acquired. */
    open(state: TargetState): TargetSend {
        const { port, permits, meter, secondSends, sends } = this.opts.relay;
        const { req, admission: { team, service }, clock, isRepeatable } = this.opts.request;
        const permittedAtMs = performance.now();
        this.triedIds.add(state.target.id);
        secondSends?.getPolicy(service).recordSend();
        return new TargetSend({
            state,
            call: {
                req,
                team,
                leftMs: clock.leftMs,
                urgency: this.getUrgency(),
                afterEvent: this.opts.stream.lastEventId,
                isRepeatable,
            },
            signal: clock.signal,
            port,
            permits,
            count: outcome => meter.recordSend(outcome, service),
            mayStart: () => this.mayStart(state, permittedAtMs),
            observed: sends?.begin(state.target, req),
        });
    }

    /** Records what an outcome says about the request and its target; a loss is recorded by `recordFailure`. */
    recordOutcome({ state, startedAtMs }: TargetSend, outcome: TargetOutcome): void {
        const nowMs = performance.now();
        switch (outcome.kind) {
            case "not_sent":
                if (this.opts.request.clock.endReason === undefined && this.mayStart(state, nowMs)) {
                    state.health.recordUnreachable(nowMs, startedAtMs);
                }
                this.log(state, outcome.kind, outcome.cause);
                this.failedConnects += 1;
                break;
            case "not_run":
                this.sends += 1;
                state.health.recordRejection();
                if (outcome.reason === "full") {
                    state.health.recordFull(nowMs, FULL_BACKOFF_MS);
                }
                this.log(state, outcome.kind, outcome.reason);
                break;
            case "failed":
            case "answer":
                this.recordRun();
        }
    }

    /** Counts a send that may have run. */
    recordRun(): void {
        this.sends += 1;
        this.mayRun = true;
    }

    /** Records a send that was lost, unless the request's time has ended it. */
    recordFailure(send: TargetSend, cause: string): void {
        if (this.opts.request.clock.endReason !== undefined) {
            return;
        }
        const { state, startedAtMs } = send;
        state.health.recordFailure(performance.now(), startedAtMs);
        this.log(state, "failed", cause);
        this.isSafe = Promise.all([this.isSafe, this.recordLoss(send)]).then(safe => safe.every(Boolean));
    }

    /** Logs a send whose response is not relayed. */
    log(state: TargetState, outcome: string, cause: string): void {
        const { req, watched, clock } = this.opts.request;
        this.opts.relay.log.write("send without answer", {
            request: req.id,
            target: state.target.id,
            outcome,
            cause,
            sends: this.sends,
            events: this.opts.stream.eventCount,
            version: state.target.version ?? "",
            parts: watched.sharedParts.slice(0, MAX_LOGGED_PARTS).join(" "),
            whole: watched.whole,
            leftMs: Math.round(clock.leftMs),
        });
    }

    /** Records a lost send; returns whether another one is unlikely to crash its target. */
    private async recordLoss({ state, startedAtMs }: TargetSend): Promise<boolean> {
        const { relay: { meter, parts }, request, stream } = this.opts;
        const hasBegun = stream.eventCount > 0;
        if (!hasBegun) {
            meter.recordEndBeforeAnswer(request.admission.service);
        }
        const loss = { ranMs: performance.now() - startedAtMs, hasBegun };
        return await parts.recordLoss(request.watched, state.target, loss);
    }

    /** Whether a request that waited for a connection may be sent; the process may have been paused in the meantime. */
    private mayStart(state: TargetState, permittedAtMs: number): boolean {
        const { selector, freshness } = this.opts.relay;
        return selector.mayStart(state, permittedAtMs) && !freshness.isOutdated;
    }

    private getUrgency(): number | undefined {
        const { relay: { urgency, documents }, request, beginning } = this.opts;
        const { req, admission: { route, service, priority } } = request;
        return urgency.getUrgency({
            priority,
            isMixed: documents.current()?.hasMixedPriorities(service) === true,
            waitedMs: performance.now() - req.arrivedAtMs,
            latencyTargetMs: route.latencyTargetMs,
            isContinued: beginning.version !== undefined,
        });
    }
}
