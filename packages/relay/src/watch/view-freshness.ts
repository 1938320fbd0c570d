import type { RelayLog } from "../relay-log.js";

/** A response to a request for changes. */
export interface ChangesResponse {
    readonly prefix: string;
    /** Monotonic time at which the request was sent, in milliseconds. */
    readonly requestedAtMs: number;
    /** Time by which the response arrived later than it was due, in milliseconds. */
    readonly delayMs: number;
}

/** Options of {@link ViewFreshness}. */
export interface ViewFreshnessOptions {
    readonly log: RelayLog;
    /** Monotonic time in milliseconds; `performance.now` by default. */
    readonly nowMs?: () => number;
    /** Time of day in milliseconds, which goes on while the machine is suspended; `Date.now` by default. */
    readonly wallMs?: () => number;
}

/** Times of a request for changes, in milliseconds. */
interface Confirmation {
    readonly atMs: number;
    readonly wallMs: number;
}

/** Delay of a response from which the network input counts as delayed, in milliseconds; far above a round trip. */
const MIN_DELAY_MS = 250;

/** Time after the last delayed response in which the network input still counts as delayed, in milliseconds. */
const DELAY_MEMORY_MS = 5_000;

/**
 * Age from which the view is outdated while the input is delayed, in milliseconds. Changes must be active within three
 * seconds; the rest is for the source, which reads the service every 0.3 s, and for the request's way to its target.
 */
const MAX_AGE_MS = 2_000;

const TICK_MS = 100;

/** Time in which the view is confirmed after the process stood still; without responses by then, nothing can be known. In milliseconds. */
const CATCH_UP_MS = 1_000;

const MS_PER_S = 1_000;

/** Tracks how old this instance's view of the KV service is, and whether responses reach it late. */
export class ViewFreshness {
    private readonly confirmed = new Map<string, Confirmation>();
    private readonly nowMs: () => number;
    private readonly wallMs: () => number;
    private lastDelayMs = 0;
    private delayedUntilMs = Number.NEGATIVE_INFINITY;
    private wasDelayed = false;
    /** Monotonic time of the last sign that the process runs, in milliseconds; undefined where none is awaited. */
    private lastTickMs: number | undefined;
    private catchingUpUntilMs = Number.NEGATIVE_INFINITY;

    constructor(private readonly opts: ViewFreshnessOptions) {
        this.nowMs = opts.nowMs ?? (() => performance.now());
        this.wallMs = opts.wallMs ?? (() => Date.now());
    }

    /** Starts noticing when the process stood still, until it ends. */
    start(): void {
        this.tick();
        setInterval(() => this.tick(), TICK_MS).unref();
    }

    /** Records that the process runs. */
    tick(): void {
        const nowMs = this.nowMs();
        const stoodMs = nowMs - (this.lastTickMs ?? nowMs);
        this.lastTickMs = nowMs;
        if (stoodMs > MAX_AGE_MS) {
            this.catchingUpUntilMs = nowMs + CATCH_UP_MS;
            this.opts.log.write("process stood still", { ms: Math.round(stoodMs), viewAgeMs: Math.round(this.ageMs) });
        }
    }

    /**
     * Records a response of a source or of the KV service. A source that cannot read the service either counts as well:
     * no newer state can be known then.
     */
    recordResponse({ prefix, requestedAtMs, delayMs }: ChangesResponse): void {
        const last = this.confirmed.get(prefix);
        if (last === undefined || requestedAtMs >= last.atMs) {
            this.confirmed.set(prefix, { atMs: requestedAtMs, wallMs: this.wallMs() - (this.nowMs() - requestedAtMs) });
        }
        if (delayMs >= MIN_DELAY_MS) {
            this.lastDelayMs = delayMs;
            this.delayedUntilMs = this.nowMs() + DELAY_MEMORY_MS;
        }
        this.logChange();
    }

    /** Whether responses arrived late recently, since the link or the processor of this instance is overloaded. */
    get isInputDelayed(): boolean {
        return this.nowMs() < this.delayedUntilMs;
    }

    /** Delay of the last delayed response, in milliseconds; 0 while the input is in time. */
    get inputDelayMs(): number {
        return this.isInputDelayed ? this.lastDelayMs : 0;
    }

    /**
     * Time up to which changes may be unknown here, in milliseconds; 0 before the first response. The monotonic clock stands
     * still while the machine is suspended, and the time of day may be set back, so the longer time counts.
     */
    get ageMs(): number {
        const nowMs = this.nowMs();
        const wallMs = this.wallMs();
        return Math.max(0, ...[...this.confirmed.values()].map(it => Math.max(nowMs - it.atMs, wallMs - it.wallMs)));
    }

    /**
     * Whether this instance may decide by changes that are too old. Unless responses are late or the process has just stood
     * still, an old view means that the KV service or the peers are unavailable, and requests are served by the last known state.
     */
    get isOutdated(): boolean {
        if (this.lastTickMs !== undefined) {
            // After a pause, requests may be read before the first timer runs.
            this.tick();
        }
        return (this.isInputDelayed || this.nowMs() < this.catchingUpUntilMs) && this.ageMs > MAX_AGE_MS;
    }

    /** The two measures in seconds, by the names of their gauges. */
    get gauges(): Readonly<Record<string, number>> {
        return {
            view_age_seconds: this.ageMs / MS_PER_S,
            network_input_delay_seconds: this.inputDelayMs / MS_PER_S,
        };
    }

    private logChange(): void {
        const isDelayed = this.isInputDelayed;
        if (isDelayed !== this.wasDelayed) {
            this.wasDelayed = isDelayed;
            const event = isDelayed ? "network input delayed" : "network input in time again";
            this.opts.log.write(event, { delayMs: Math.round(this.lastDelayMs), viewAgeMs: Math.round(this.ageMs) });
        }
    }
}
