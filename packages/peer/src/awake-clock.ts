/**
 * Measures the time in which this process was able to read its sockets (awake time), in milliseconds.
 * After a pause of this process all peers seem to have sent nothing for a long time. So a delayed tick counts for no
 * more than a bounded step, and a peer times out only after its whole timeout of awake time.
 */
export class AwakeClock {
    private readonly maxStepMs: number;
    private readonly now: () => number;
    private lastTickMs: number;
    private awakeMs = 0;

    constructor(opts: { readonly maxStepMs: number; readonly now?: () => number; }) {
        this.maxStepMs = opts.maxStepMs;
        this.now = opts.now ?? (() => performance.now());
        this.lastTickMs = this.now();
    }

    /** Awake time until the last tick. */
    get elapsedMs(): number {
        return this.awakeMs;
    }

    /** Advances the clock; returns the real time since the last tick. */
    tick(): number {
        const now = this.now();
        const stepMs = now - this.lastTickMs;
        this.lastTickMs = now;
        this.awakeMs += Math.min(stepMs, this.maxStepMs);
        return stepMs;
    }
}
