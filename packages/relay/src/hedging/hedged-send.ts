import { isServerError, isSuccess } from "../http/response-status.js";
import type { LogFields } from "../relay-log.js";
import type { AdmittedRequest, RelayOptions } from "../relay.js";
import type { RequestSends } from "../request-sends.js";
import type { StreamBeginning } from "../versions/stream-beginning.js";
import { SecondSendStarter } from "./second-send-starter.js";
import type { SecondSendResult, SecondSends } from "./second-sends.js";
import { type RacedOutcome, type RaceResult, SendRace } from "./send-race.js";
import type { TargetSend } from "./target-send.js";

/** Options of {@link HedgedSend}. */
export interface HedgedSendOptions {
    readonly relay: RelayOptions;
    readonly request: AdmittedRequest;
    readonly sends: RequestSends;
    readonly beginning: StreamBeginning;
    /** Ids of targets whose limit left no send for the request. */
    readonly limited: ReadonlySet<string>;
}

/** The send that decides about a request, and its outcome. */
export type DecidingSend = Pick<RaceResult, "send" | "outcome">;

/** Waits for one request's sends, with a second send beside a slow one where that is on and allowed. */
export class HedgedSend {
    private second:
        | { readonly firstTarget: string; readonly secondTarget: string; readonly secondSend: SecondSendResult; }
        | undefined;

    constructor(private readonly opts: HedgedSendOptions) {}

    /** What the request's log line says of its second send. */
    get trace(): LogFields {
        return this.second ?? {};
    }

    /** Resolves with the first usable response to the request, or with the last outcome where there is none. */
    async wait(first: TargetSend): Promise<DecidingSend> {
        const { secondSends } = this.opts.relay;
        const delayMs = this.second === undefined && this.opts.sends.canSendBeside
            ? secondSends?.getPolicy(this.service).getDelayMs(this.promptTokens)
            : undefined;
        if (secondSends === undefined || delayMs === undefined) {
            return { send: first, outcome: await first.outcome };
        }
        const result = await this.createRace(first, delayMs, secondSends).run();
        this.recordResult(result, secondSends);
        return result;
    }

    /** Learns the time to the first byte of a send: for a stream to its first event. */
    recordFirstByte({ startedAtMs }: TargetSend): void {
        const ms = performance.now() - startedAtMs;
        this.opts.relay.secondSends?.getPolicy(this.service).recordFirstByte(this.promptTokens, ms);
    }

    private get service(): string {
        return this.opts.request.admission.service;
    }

    private get promptTokens(): number {
        return this.opts.request.req.generation?.promptTokens ?? 0;
    }

    private createRace(first: TargetSend, delayMs: number, secondSends: SecondSends): SendRace {
        const { relay, request, sends, beginning, limited } = this.opts;
        const starter = new SecondSendStarter(relay, secondSends, request);
        return new SendRace({
            first,
            delayMs,
            startSecond: async (isWanted, begin) => {
                const tried = new Set([...sends.tried, ...limited]);
                const earlier = { first: first.state, tried, begun: beginning.version };
                const state = await starter.acquire(earlier, isWanted);
                if (state !== undefined) {
                    this.second = {
                        firstTarget: first.state.target.id,
                        secondTarget: state.target.id,
                        secondSend: "undecided",
                    };
                    begin(sends.open(state));
                }
            },
            isUsable: (send, outcome) => this.isUsable(send, outcome),
            onUnusable: (send, outcome) => this.recordUnusable(send, outcome),
            onCancelled: send => {
                sends.recordRun();
                secondSends.recordCancelled(send, this.promptTokens);
                if (send === first) {
                    // Its time is at least this long; without it the quantile would be learned from quick responses only.
                    this.recordFirstByte(send);
                    send.state.health.recordUnanswered(send.firstByteMs);
                }
            },
        });
    }

    /** Whether an outcome of one of two sends is a response for the caller: no error, and for a stream its first event. */
    private async isUsable({ state }: TargetSend, outcome: RacedOutcome): Promise<boolean> {
        if (outcome.kind !== "answer" || isServerError(outcome.head)) {
            return false;
        }
        const { head, body, connectedAtMs } = outcome;
        if (!isSuccess(head) || this.opts.request.admission.route.kind !== "streaming") {
            return true;
        }
        return await this.opts.beginning.canContinueAt({ target: state.target, connectedAtMs })
            && await body.readFirstEvent(head.isFramed);
    }

    /** Records a send without a usable response while the other one goes on. */
    private recordUnusable(send: TargetSend, outcome: RacedOutcome): void {
        const { sends } = this.opts;
        sends.recordOutcome(send, outcome);
        if (outcome.kind === "failed") {
            sends.recordFailure(send, outcome.cause);
        }
        else if (outcome.kind === "answer" && isServerError(outcome.head)) {
            send.state.health.recordResponse(true, send.firstByteMs);
            sends.log(send.state, "error answer", String(outcome.head.status));
        }
        else if (outcome.kind === "answer" && outcome.body.failure !== undefined) {
            sends.recordFailure(send, outcome.body.failure);
        }
        else if (outcome.kind === "answer") {
            sends.log(send.state, "unknown start", "the target may have started again as another version");
        }
    }

    private recordResult({ send, second, isUsable }: RaceResult, secondSends: SecondSends): void {
        if (second !== undefined && this.second !== undefined) {
            const isUndecided = !isUsable && this.opts.request.clock.endReason !== undefined;
            const secondSend = isUndecided ? "undecided" : isUsable && send === second ? "won" : "lost";
            this.second = { ...this.second, secondSend };
            secondSends.recordResult(this.service, secondSend);
        }
    }
}
