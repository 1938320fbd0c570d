import { OspreyError } from "@ospreyreel/errors";
import type { AdmissionPolicy } from "./admission-policy.js";
import type { QueueOrder } from "./queue-order.js";

/** Options of {@link DeadlineQueue}. */
export interface DeadlineQueueOptions {
    readonly policy: AdmissionPolicy;
    /** Measured rate of service; `undefined` before the first measurement. */
    readonly getServedPerS: () => number | undefined;
    /** Other queues for the same targets; none by default. */
    readonly otherQueues?: OtherQueues;
    /** Order that is computed again before each admission; by default requests are ordered once, when they begin to wait. */
    readonly order?: QueueOrder;
    /** Monotonic clock, in milliseconds. */
    readonly now?: () => number;
    /** Calls back after a time in milliseconds of that clock, and returns what cancels that; `setTimeout` by default. */
    readonly setTimer?: SetTimer;
}

/** Calls back after a time in milliseconds; returns what cancels that. */
export type SetTimer = (callback: () => void, ms: number) => () => void;

/** A request that waits for a resource. */
export interface QueueRequest<T> {
    /** 0 (first) to 9 (last). */
    readonly priority: number;
    /** Time of the clock by which it must have been served. */
    readonly deadlineAtMs: number;
    /** Acquires the resource; `undefined` where none is available yet. */
    readonly tryAcquire: () => T | undefined;
    /** Whether the next request may be admitted first where this one acquires nothing. */
    readonly skippable?: boolean;
    /** Whether its caller was refused before and has come back; not by default. */
    readonly isReturned?: boolean;
    /** Called once the request waits. */
    readonly onWait?: () => void;
    readonly signal?: AbortSignal | undefined;
}

/** The other queues that share this queue's targets. */
export interface OtherQueues {
    /** Number of requests of other queues that are admitted before one of this rank. */
    readonly countAhead: (rank: number) => number;
}

interface WaitingRequest<T> {
    readonly req: QueueRequest<T>;
    readonly waitingSinceMs: number;
    /** The lowest is admitted first; a time of the clock unless an order is set. */
    rank: number;
    readonly resolve: (acquired: T) => void;
    readonly reject: (err: unknown) => void;
    readonly stopTimer: () => void;
    readonly stopListening: () => void;
}

const PRIORITY_COUNT = 10;
/** Share of its time until the deadline after which a request of the last priority is due. */
const LAST_DUE_SHARE = 0.4;
const MS_PER_S = 1_000;
const MAX_RETRY_AFTER_S = 30;

/**
 * Returns the time at which a request is due, after a share of its time until the deadline that grows with its
 * priority's number. A strict order by priority would starve the last priorities for as long as an overload lasts.
 */
const getDueRank = (req: QueueRequest<unknown>, nowMs: number): number =>
    nowMs + (req.deadlineAtMs - nowMs) * LAST_DUE_SHARE * (req.priority + 1) / PRIORITY_COUNT;

const setNodeTimer: SetTimer = (callback, ms) => {
    const timer = setTimeout(callback, ms);
    return () => clearTimeout(timer);
};

/** Queue by priority and deadline; a request is admitted, or rejected as soon as it is known to be late. */
export class DeadlineQueue<T> {
    private waiting: readonly WaitingRequest<T>[] = [];
    private readonly now: () => number;
    private readonly setTimer: SetTimer;

    constructor(private readonly opts: DeadlineQueueOptions) {
        this.now = opts.now ?? (() => performance.now());
        this.setTimer = opts.setTimer ?? setNodeTimer;
    }

    /** Number of waiting requests. */
    get length(): number {
        return this.waiting.length;
    }

    /** Rank of the first waiting request; `undefined` where none waits. */
    get firstRank(): number | undefined {
        return this.waiting[0]?.rank;
    }

    /** Waits for the resource; throws `overloaded`, certainly not run, where the deadline cannot be met. */
    async wait(req: QueueRequest<T>): Promise<T> {
        req.signal?.throwIfAborted();
        this.reorder();
        const rank = this.getRank(req, this.now());
        const ahead = this.countAhead(rank);
        const acquired = ahead === 0 ? req.tryAcquire() : undefined;
        if (acquired !== undefined) {
            return acquired;
        }
        const decision = this.opts.policy.decide({
            priority: req.priority,
            ahead: ahead + this.countAheadInOtherQueues(rank),
            queued: this.waiting.length,
            servedPerS: this.opts.getServedPerS(),
            timeLeftMs: req.deadlineAtMs - this.now(),
        });
        if (!decision.admitted) {
            throw new OspreyError("the deadline cannot be met", {
                result: "overloaded",
                retryAfterS: decision.retryAfterS,
            });
        }
        return new Promise((resolve, reject) => this.insert(req, rank, resolve, reject));
    }

    /** Admits waiting requests in order, as long as they acquire a resource. */
    drain(): void {
        while (this.admitNext()) {
            // Each admitted request may leave room for the next.
        }
    }

    /** Admits the first request that acquires a resource; false where none does. */
    admitNext(): boolean {
        this.reorder();
        for (const entry of this.waiting) {
            const acquired = entry.req.tryAcquire();
            if (acquired !== undefined) {
                this.remove(entry);
                entry.resolve(acquired);
                return true;
            }
            if (entry.req.skippable !== true) {
                return false;
            }
        }
        return false;
    }

    /** Rejects waiting requests that are no longer expected to be admitted before their deadline. */
    rejectLate(): void {
        const servedPerS = this.opts.getServedPerS();
        if (servedPerS === undefined) {
            return;
        }
        let ahead = 0;
        for (const entry of this.waiting) {
            const waitMs = (ahead + 1 + this.countAheadInOtherQueues(entry.rank)) / servedPerS * MS_PER_S;
            const excessMs = waitMs - (entry.req.deadlineAtMs - this.now());
            if (excessMs > 0) {
                this.remove(entry);
                const retryAfterS = Math.min(MAX_RETRY_AFTER_S, Math.ceil(excessMs / MS_PER_S));
                entry.reject(
                    new OspreyError("the deadline can no longer be met", { result: "overloaded", retryAfterS }),
                );
            }
            else {
                ahead += 1;
            }
        }
    }

    /** Number of waiting requests that are admitted before one of this rank. */
    countAhead(rank: number): number {
        const first = this.waiting.findIndex(entry => rank < entry.rank);
        return first === -1 ? this.waiting.length : first;
    }

    /** Rejects all waiting requests. */
    rejectAll(createError: () => unknown): void {
        const entries = this.waiting;
        entries.forEach(entry => this.remove(entry));
        entries.forEach(entry => entry.reject(createError()));
    }

    private getRank(req: QueueRequest<T>, waitingSinceMs: number): number {
        const { priority, deadlineAtMs, isReturned = false } = req;
        return this.opts.order?.getRank({ priority, deadlineAtMs, isReturned, waitingSinceMs }, this.now())
            ?? getDueRank(req, waitingSinceMs);
    }

    /** Orders the waiting requests again where their order changes with time. */
    private reorder(): void {
        if (this.opts.order === undefined || this.waiting.length === 0) {
            return;
        }
        for (const entry of this.waiting) {
            entry.rank = this.getRank(entry.req, entry.waitingSinceMs);
        }
        this.waiting = this.waiting.toSorted((a, b) => a.rank - b.rank);
    }

    private countAheadInOtherQueues(rank: number): number {
        return this.opts.otherQueues?.countAhead(rank) ?? 0;
    }

    private insert(
        req: QueueRequest<T>,
        rank: number,
        resolve: (acquired: T) => void,
        reject: (err: unknown) => void,
    ): void {
        const expire = (): void => {
            this.remove(entry);
            reject(new OspreyError("the deadline has passed", { result: "overloaded" }));
        };
        const abort = (): void => {
            this.remove(entry);
            reject(req.signal?.reason);
        };
        const waitingSinceMs = this.now();
        const stopTimer = this.setTimer(expire, Math.max(0, req.deadlineAtMs - waitingSinceMs));
        req.signal?.addEventListener("abort", abort, { once: true });
        const stopListening = (): void => req.signal?.removeEventListener("abort", abort);
        const entry: WaitingRequest<T> = {
            req,
            waitingSinceMs,
            rank,
            resolve,
            reject,
            stopTimer,
            stopListening,
        };
        const position = this.countAhead(rank);
        this.waiting = [...this.waiting.slice(0, position), entry, ...this.waiting.slice(position)];
        req.onWait?.();
    }

    private remove(entry: WaitingRequest<T>): void {
        entry.stopTimer();
        entry.stopListening();
        this.waiting = this.waiting.filter(other => other !== entry);
    }
}
