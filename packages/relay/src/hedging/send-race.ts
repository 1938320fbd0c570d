import { abandonBody } from "../http/abandon-body.js";
import type { TargetOutcome } from "../targets/target-port.js";
import { ReadAheadBody } from "./read-ahead-body.js";
import type { TargetSend } from "./target-send.js";

/** Outcome of a send whose body may have been read ahead. */
export type RacedOutcome =
    | Exclude<TargetOutcome, { readonly kind: "answer"; }>
    | Extract<TargetOutcome, { readonly kind: "answer"; }> & { readonly body: ReadAheadBody; };

/** The send that decides about the request, and its outcome. */
export interface RaceResult {
    readonly send: TargetSend;
    readonly outcome: TargetOutcome;
    /** The second send; undefined where there was none. */
    readonly second: TargetSend | undefined;
    /** Whether the outcome is a response for the caller. */
    readonly isUsable: boolean;
}

/** Options of {@link SendRace}. */
export interface SendRaceOptions {
    readonly first: TargetSend;
    /** Time after the start of the first send at which the second one is due, in milliseconds. */
    readonly delayMs: number;
    /** Makes the second send and passes it to `begin` in the same turn, unless `isWanted` returns false by then. */
    readonly startSecond: (isWanted: () => boolean, begin: (second: TargetSend) => void) => Promise<void>;
    /** Whether an outcome is a response for the caller; may read its body ahead. Does not throw. */
    readonly isUsable: (send: TargetSend, outcome: RacedOutcome) => Promise<boolean>;
    /** Called when a send ended without a usable response while the other one goes on. */
    readonly onUnusable: (send: TargetSend, outcome: RacedOutcome) => void;
    /** Called when a send is cancelled, since the response of the other one is used. */
    readonly onCancelled: (send: TargetSend) => void;
}

/** Waits for a send, makes a second one where it is late, and cancels the one whose response is not used. */
export class SendRace {
    private readonly running = new Set<TargetSend>();
    private second: TargetSend | undefined;
    private isDecided = false;
    private resolve: (result: RaceResult) => void = () => undefined;
    private reject: (err: unknown) => void = () => undefined;

    constructor(private readonly opts: SendRaceOptions) {}

    /** Resolves with the first usable response, or with the last outcome where there is none. Its send is still to be released. */
    async run(): Promise<RaceResult> {
        const { first, delayMs } = this.opts;
        const result = new Promise<RaceResult>((resolve, reject) => {
            this.resolve = resolve;
            this.reject = reject;
        });
        const timer = setTimeout(() => this.startSecond(), Math.max(0, delayMs - first.firstByteMs));
        this.enter(first);
        try {
            return await result;
        }
        finally {
            this.isDecided = true;
            clearTimeout(timer);
        }
    }

    private startSecond(): void {
        const begin = (second: TargetSend): void => {
            this.second = second;
            this.enter(second);
        };
        this.opts.startSecond(() => !this.isDecided, begin).catch((err: unknown) => this.reject(err));
    }

    private enter(send: TargetSend): void {
        this.running.add(send);
        this.watch(send).catch((err: unknown) => {
            send.release();
            this.reject(err);
        });
    }

    private async watch(send: TargetSend): Promise<void> {
        const plain = await send.outcome;
        const outcome = plain.kind === "answer" ? { ...plain, body: new ReadAheadBody(plain.body) } : plain;
        const isUsable = !this.isDecided && await this.opts.isUsable(send, outcome);
        this.running.delete(send);
        if (!this.isDecided && (isUsable || this.running.size === 0)) {
            this.decide({ send, outcome, second: this.second, isUsable });
            return;
        }
        if (!this.isDecided) {
            this.opts.onUnusable(send, outcome);
        }
        if (outcome.kind === "answer") {
            abandonBody(outcome.body);
        }
        send.release();
    }

    private decide(result: RaceResult): void {
        this.isDecided = true;
        this.running.forEach(other => {
            other.cancel();
            this.opts.onCancelled(other);
        });
        this.resolve(result);
    }
}
