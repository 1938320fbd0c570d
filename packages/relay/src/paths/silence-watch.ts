import { probeConnection, type ProbeOutcome } from "@ospreyreel/targets";
import { getStartKey, type Target } from "../targets/target.js";
import type { TargetPaths } from "./target-paths.js";

/** Options of {@link SilenceWatch}. */
export interface SilenceWatchOptions {
    readonly paths: Pick<TargetPaths, "recordUnreachable">;
    /** Monotonic time in milliseconds; `performance.now` by default. */
    readonly nowMs?: () => number;
    /** Opens a connection to a target; {@link probeConnection} by default. */
    readonly probe?: (target: Target, timeoutMs: number) => Promise<ProbeOutcome>;
}

/** One exchange with a target on a connection of this instance. */
export interface WatchedExchange {
    /** Records that a part of the response has arrived. */
    readonly recordResponse: () => void;
    /** Ends the watch; idempotent. */
    readonly end: () => void;
}

interface OpenExchange {
    readonly startedAtMs: number;
    /** Ends the exchange as failed, if the request may be sent again. */
    readonly abort: (() => void) | undefined;
}

/** Exchanges of one target. */
interface WatchedTarget {
    readonly target: Target;
    readonly exchanges: Set<OpenExchange>;
    respondedAtMs: number;
    nextCheckAtMs: number;
    isChecking: boolean;
}

/** Interval of the checks, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Time without any response of a target from which it is checked whether connections to it still open, in milliseconds. */
const SILENCE_MS = 300;

/** Timeout of a connection attempt, in milliseconds; a second attempt starts in time for a lost first packet not to matter. */
const PROBE_TIMEOUT_MS = 400;
const SECOND_PROBE_AFTER_MS = 150;

/** Time after a successful attempt in which silence is not checked again, in milliseconds. */
const RECHECK_MS = 1_000;

/**
 * Notices connections that hang because this instance is disconnected from their target. A target that is silent while it works
 * still accepts connections; one that does not, while peers reach it, is disconnected from here.
 */
export class SilenceWatch {
    private readonly targets = new Map<string, WatchedTarget>();
    private readonly nowMs: () => number;
    private readonly probe: (target: Target, timeoutMs: number) => Promise<ProbeOutcome>;

    constructor(private readonly opts: SilenceWatchOptions) {
        this.nowMs = opts.nowMs ?? (() => performance.now());
        this.probe = opts.probe ?? probeConnection;
    }

    /** Starts the checks, until the process ends. */
    start(): void {
        setInterval(() => this.checkAll(), CHECK_INTERVAL_MS).unref();
    }

    /** Watches an exchange; `abort` is called if its connection hangs, and left out where the request may run only once. */
    begin(target: Target, abort?: () => void): WatchedExchange {
        const watched = this.getTarget(target);
        const exchange: OpenExchange = { startedAtMs: this.nowMs(), abort };
        watched.exchanges.add(exchange);
        return {
            recordResponse: () => {
                watched.respondedAtMs = this.nowMs();
            },
            end: () => {
                watched.exchanges.delete(exchange);
                if (watched.exchanges.size === 0 && this.targets.get(getStartKey(target)) === watched) {
                    this.targets.delete(getStartKey(target));
                }
            },
        };
    }

    /** Checks the targets that have been silent for some time. */
    checkAll(): void {
        for (const watched of this.targets.values()) {
            if (this.isSilent(watched) && !watched.isChecking && this.nowMs() >= watched.nextCheckAtMs) {
                void this.check(watched);
            }
        }
    }

    private getTarget(target: Target): WatchedTarget {
        const key = getStartKey(target);
        const watched = this.targets.get(key) ?? {
            target,
            exchanges: new Set(),
            respondedAtMs: Number.NEGATIVE_INFINITY,
            nextCheckAtMs: 0,
            isChecking: false,
        };
        this.targets.set(key, watched);
        return watched;
    }

    private isSilent({ exchanges, respondedAtMs }: WatchedTarget): boolean {
        const oldestAtMs = Math.min(...[...exchanges].map(({ startedAtMs }) => startedAtMs));
        return this.nowMs() - Math.max(respondedAtMs, oldestAtMs) > SILENCE_MS;
    }

    private async check(watched: WatchedTarget): Promise<void> {
        watched.isChecking = true;
        const startedAtMs = this.nowMs();
        const outcome = await this.probeTwice(watched.target);
        watched.nextCheckAtMs = this.nowMs() + RECHECK_MS;
        const isLost = outcome !== "open" && await this.opts.paths.recordUnreachable(watched.target);
        // A refused connection says nothing about the open ones.
        if (isLost && outcome === "failed" && watched.respondedAtMs < startedAtMs) {
            [...watched.exchanges].filter(exchange => exchange.startedAtMs < startedAtMs)
                .forEach(({ abort }) => abort?.());
        }
        watched.isChecking = false;
    }

    private async probeTwice(target: Target): Promise<ProbeOutcome> {
        const first = this.probe(target, PROBE_TIMEOUT_MS);
        const early = await Promise.race([
            first,
            new Promise<undefined>(resolve => setTimeout(() => resolve(undefined), SECOND_PROBE_AFTER_MS)),
        ]);
        if (early !== undefined) {
            return early;
        }
        const outcomes = await Promise.all([first, this.probe(target, PROBE_TIMEOUT_MS - SECOND_PROBE_AFTER_MS)]);
        return outcomes.find(outcome => outcome === "open") ?? "failed";
    }
}
