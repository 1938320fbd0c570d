import type { SendPermits } from "../limits/send-permits.js";
import type { ObservedSend } from "../load/send-observer.js";
import type { TargetCall, TargetOutcome, TargetPort } from "../targets/target-port.js";
import type { TargetState } from "../targets/target-state.js";

/** Options of {@link TargetSend}. */
export interface TargetSendOptions {
    /** The target; a permit for the send is acquired. */
    readonly state: TargetState;
    readonly call: Omit<TargetCall, "target" | "signal" | "mayStart">;
    /** Aborts when the request's time has ended. */
    readonly signal: AbortSignal;
    readonly port: TargetPort;
    readonly permits: SendPermits;
    /** Counts the send by its outcome. */
    readonly count: (outcome: string) => void;
    /** Whether the request may be sent, asked again once a connection is open. */
    readonly mayStart: () => boolean;
    /** Learns from the send; undefined where nothing does. */
    readonly observed?: ObservedSend | undefined;
}

/** One send of a request to a target, from the acquired permit to its release. */
export class TargetSend {
    /** Monotonic time of the send, in milliseconds. */
    readonly startedAtMs = performance.now();
    /** Resolves at the head of the response, or when there will be none. */
    readonly outcome: Promise<TargetOutcome>;
    private readonly controller = new AbortController();
    private readonly abort = (): void => this.controller.abort();
    private respondedAtMs: number | undefined;
    private isCancelled = false;
    private isReleased = false;

    constructor(private readonly opts: TargetSendOptions) {
        const { signal, state } = opts;
        state.inFlight += 1;
        if (signal.aborted) {
            this.abort();
        }
        signal.addEventListener("abort", this.abort, { once: true });
        this.outcome = this.send();
    }

    /** The target. */
    get state(): TargetState {
        return this.opts.state;
    }

    /** What learns from the send; undefined where nothing does. */
    get observed(): ObservedSend | undefined {
        return this.opts.observed;
    }

    /** Time from the send to the head of the response, or until now before that; in milliseconds. */
    get firstByteMs(): number {
        return (this.respondedAtMs ?? performance.now()) - this.startedAtMs;
    }

    /** Ends the send early, since the response of another one is used; the target is still to be released. */
    cancel(): void {
        this.isCancelled = true;
        if (this.respondedAtMs === undefined) {
            this.opts.count("cancelled");
        }
        this.abort();
    }

    /** Releases the target, once its response is relayed or nothing more is read of it. */
    release(): void {
        if (!this.isReleased) {
            const { signal, state, permits } = this.opts;
            this.isReleased = true;
            signal.removeEventListener("abort", this.abort);
            state.inFlight -= 1;
            this.observed?.end();
            permits.release(state);
        }
    }

    private async send(): Promise<TargetOutcome> {
        const { state, call, port, permits, count, mayStart } = this.opts;
        const outcome = await port.send({
            ...call,
            target: state.target,
            signal: this.controller.signal,
            mayStart: () => !this.isCancelled && mayStart(),
        });
        this.respondedAtMs = performance.now();
        if (!this.isCancelled) {
            count(outcome.kind);
        }
        permits.recordOutcome(state, outcome, this.startedAtMs);
        this.observed?.recordOutcome(outcome);
        return outcome;
    }
}
