import { setTimeout as sleep } from "node:timers/promises";

/** First and longest delay between two attempts, in milliseconds. */
const MIN_DELAY_MS = 50;
const MAX_DELAY_MS = 5_000;

/** Random share of a delay, so that a fleet does not dial a restarted instance at the same time. */
const JITTER_SHARE = 0.5;

/** Options of {@link Dialer}. */
export interface DialerOptions {
    /** Whether a link to this address exists already. */
    readonly isLinked: () => boolean;
    /** Connects and serves the link until it ends; throws where no link could be opened. */
    readonly connect: (signal: AbortSignal) => Promise<void>;
    /** Interval of the checks for an existing link, in milliseconds. */
    readonly checkMs: number;
}

/** Keeps one address linked, with an exponential delay between failed attempts. */
export class Dialer {
    private readonly opts: DialerOptions;
    private readonly stopping = new AbortController();

    constructor(opts: DialerOptions) {
        this.opts = opts;
    }

    /** Runs until stopped. */
    async run(): Promise<void> {
        const { signal } = this.stopping;
        let failures = 0;
        while (!signal.aborted) {
            if (this.opts.isLinked()) {
                failures = 0;
                await this.pause(this.opts.checkMs);
                continue;
            }
            try {
                await this.opts.connect(signal);
                failures = 0;
            }
            catch {
                failures++;
            }
            await this.pause(getRetryDelayMs(failures));
        }
    }

    /** Stops the attempts; an open link stays. */
    stop(): void {
        this.stopping.abort();
    }

    private async pause(ms: number): Promise<void> {
        try {
            await sleep(ms, undefined, { signal: this.stopping.signal });
        }
        catch {
            // Stopped: the loop checks the signal.
        }
    }
}

const getRetryDelayMs = (failures: number): number => {
    const fullDelayMs = Math.min(MIN_DELAY_MS * 2 ** failures, MAX_DELAY_MS);
    return fullDelayMs * (1 - JITTER_SHARE * Math.random());
};
