import type { RelayRequest } from "../relay-request.js";
import type { TargetOutcome } from "../targets/target-port.js";
import type { Target } from "../targets/target.js";

/** One send whose course is observed. */
export interface ObservedSend {
    /** Records the head of the response, or that there is none. */
    recordOutcome(outcome: TargetOutcome): void;

    /** Records that events of a stream have arrived. */
    recordEvents(count: number): void;

    /** Records that the send is over. */
    end(): void;
}

/** Observes this instance's sends to targets. */
export abstract class SendObserver {
    /** Records that a send begins. */
    abstract begin(target: Target, req: RelayRequest): ObservedSend;
}

/** Passes what happens to several observers. */
export class CombinedSendObserver extends SendObserver {
    constructor(private readonly observers: readonly SendObserver[]) {
        super();
    }

    override begin(target: Target, req: RelayRequest): ObservedSend {
        const sends = this.observers.map(observer => observer.begin(target, req));
        return {
            recordOutcome: outcome => sends.forEach(send => send.recordOutcome(outcome)),
            recordEvents: count => sends.forEach(send => send.recordEvents(count)),
            end: () => sends.forEach(send => send.end()),
        };
    }
}
