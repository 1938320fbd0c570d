import { DeadlineQueue, type SetTimer } from "@ospreyreel/targets";
import { AdmissionRate } from "../policy/admission-rate.js";
import { getRetryAfterS } from "../policy/retry-after.js";
import { ServedShares } from "../policy/served-shares.js";
import { StartInTime } from "../policy/start-in-time.js";
import { getLevelOverShare, UrgencyOrder } from "../policy/urgency-order.js";
import { getWaitLimitMs } from "../policy/wait-limit.js";
import type { LogFields, RelayLog } from "../relay-log.js";
import { LEAVING_REFUSAL } from "../relay-refusal.js";
import type { TargetState } from "../targets/target-state.js";
import type { GatePass, GateRefusal, GateRequest } from "./request-gate.js";
import { ServicePass } from "./service-pass.js";
import type { TargetRooms } from "./target-rooms.js";
import type { TeamDemand } from "./team-demand.js";

/** What the gates of all services share. */
export interface ServiceGateOptions {
    readonly rooms: Pick<TargetRooms, "getChance" | "hasRoomAt">;
    readonly demand: TeamDemand;
    /** Longest wait of a request, in milliseconds. */
    readonly maxMs: number;
    readonly log: RelayLog;
    /** Adds to a counter. */
    readonly count: (name: string, amount?: number) => void;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
    /** Returns a random number in [0, 1). */
    readonly random: () => number;
    /** `setTimeout` by default. */
    readonly setTimer?: SetTimer | undefined;
}

/** State of one gate in the state dump. */
export interface GateView {
    readonly service: string;
    readonly queued: number;
    /** Requests a second that start while others wait; undefined where it is not known. */
    readonly servedPerS: number | undefined;
    /** Requests that were refused and may be about to come back. */
    readonly returning: number;
    /** Shares of the requests of teams that are limited, 0 to 1. */
    readonly shares: Readonly<Record<string, number>>;
}

/** Why a request may not wait (any longer). */
type WaitRefusal = "late" | "expired" | "leaving";

type WaitEnd =
    | { readonly kind: "admitted"; readonly waitedMs: number; }
    /** The caller has left or its time is over. */
    | { readonly kind: "ended"; }
    | { readonly kind: "refused"; readonly why: WaitRefusal; readonly limitMs: number; };

interface WaitOptions {
    /** Priority, or the level of a request beyond its team's share. */
    readonly level: number;
    readonly isReturned: boolean;
    /** Whether it passed before. */
    readonly isAgain: boolean;
    readonly hasTarget: () => boolean;
}

/** Interval at which waiting requests look for room, in milliseconds; room that other instances leave causes no event here. */
const POLL_MS = 10;

/** Part of the chance of an arriving request that each look for room has. With 1, room that is known late would be used several times. */
const POLL_SHARE = 0.3;

/** Time after the last request without room from which the service counts as having room, in milliseconds. */
const SHORT_MS = 1_000;

/** Maximum number of refused requests that are counted until they come back. */
const MAX_RETURNING = 512;

const MS_PER_S = 1_000;

const setNodeTimer: SetTimer = (callback, ms) => {
    const timer = setTimeout(callback, ms);
    return () => clearTimeout(timer);
};

/** Admits the requests of one service: at once while its targets have room, otherwise in order of urgency and time left. */
export class ServiceGate {
    private readonly served = new ServedShares();
    private readonly rate = new AdmissionRate();
    private readonly order = new UrgencyOrder(this.served);
    private readonly estimate = new StartInTime({ getOvertakingPerS: priority => this.getOvertakingPerS(priority) });
    private readonly queue: DeadlineQueue<true>;
    /** Times at which refused callers may come back. */
    private returning: readonly number[] = [];
    /** Requests that have passed and are not sent yet. */
    private reserved = 0;
    private shortAtMs = Number.NEGATIVE_INFINITY;
    private isPolling = false;
    private isClosed = false;

    constructor(private readonly service: string, private readonly opts: ServiceGateOptions) {
        this.queue = new DeadlineQueue<true>({
            policy: this.estimate,
            getServedPerS: () => this.rate.getPerS(opts.nowMs()),
            order: this.order,
            now: opts.nowMs,
            setTimer: opts.setTimer ?? setNodeTimer,
        });
    }

    /** Whether a request found no room lately. */
    get isShort(): boolean {
        return this.opts.nowMs() - this.shortAtMs <= SHORT_MS;
    }

    get view(): GateView {
        const { nowMs, demand } = this.opts;
        return {
            service: this.service,
            queued: this.queue.length,
            servedPerS: this.rate.getPerS(nowMs()),
            returning: this.countReturning(),
            shares: demand.getShares(this.service),
        };
    }

    /** Lets a request pass, now or later, or refuses it. */
    enter(req: GateRequest): GatePass | Promise<GatePass | GateRefusal> {
        const { demand, nowMs } = this.opts;
        this.served.recordOffered(req.priority, nowMs());
        demand.recordOffered(this.service, req.team);
        if (this.queue.length === 0 && this.hasRoom(req)) {
            this.reserved += 1;
            return this.pass(req, 0, true);
        }
        return this.enterQueue(req);
    }

    /** Waits for another send; returns for how long, in milliseconds, or undefined where there is no target with room in time. */
    async waitAgain(req: GateRequest, hasTarget: () => boolean): Promise<number | undefined> {
        this.recordShort();
        const end = await this.wait(req, { level: req.priority, isReturned: true, isAgain: true, hasTarget });
        return end.kind === "admitted" ? end.waitedMs : undefined;
    }

    /** Time after which a refused caller may come back, in seconds. */
    planReturn(leftMs: number): number {
        const { nowMs, random } = this.opts;
        const ahead = this.queue.length + this.countReturning();
        const retryAfterS = getRetryAfterS({ ahead, servedPerS: this.rate.getPerS(nowMs()), leftMs }, random());
        this.returning = [...this.returning, nowMs() + retryAfterS * MS_PER_S].slice(-MAX_RETURNING);
        return retryAfterS;
    }

    /** Admits waiting requests as far as there is room. */
    drain(): void {
        if (this.queue.length > 0) {
            this.queue.drain();
            this.recordQueue();
        }
    }

    /** Refuses the requests that wait, and those that would have to. */
    close(): void {
        this.isClosed = true;
        this.queue.rejectAll(() => new Error("the instance is leaving"));
        this.recordQueue();
    }

    /** Whether a target has room for a request that may use so many tokens. */
    hasRoomAt(state: TargetState, tokens: number): boolean {
        return this.opts.rooms.hasRoomAt(state, tokens);
    }

    /** Ends the reservation of a request that has passed. */
    unreserve(): void {
        this.reserved -= 1;
    }

    /** Whether a request may be sent; `share` is the part of the chance that this attempt has. */
    private hasRoom({ tokens }: GateRequest, share = 1): boolean {
        const chance = this.opts.rooms.getChance(this.service, tokens, this.reserved);
        return chance >= 1 || (chance > 0 && this.opts.random() < chance * share);
    }

    private async enterQueue(req: GateRequest): Promise<GatePass | GateRefusal> {
        this.recordShort();
        const hasShare = this.opts.demand.acquire(this.service, req.team, req.priority);
        if (!hasShare) {
            this.opts.count("requests_over_share");
        }
        const level = hasShare ? req.priority : getLevelOverShare(req.priority);
        const end = await this.wait(req, { level, isReturned: req.isReturned, isAgain: false, hasTarget: () => true });
        switch (end.kind) {
            case "admitted":
                this.opts.count("requests_waited");
                this.opts.count("request_wait_ms", end.waitedMs);
                return this.pass(req, end.waitedMs, true);
            case "ended":
                this.opts.count("waits_ended_by_callers");
                return this.pass(req, 0, false);
            case "refused":
                return this.refuse(req, level, end);
        }
    }

    private async wait(
        req: GateRequest,
        { level, isReturned, isAgain, hasTarget }: WaitOptions,
    ): Promise<WaitEnd> {
        const { nowMs, maxMs } = this.opts;
        const startedAtMs = nowMs();
        const { latencyTargetMs, arrivedAtMs, clock } = req;
        const times = { latencyTargetMs, elapsedMs: startedAtMs - arrivedAtMs, leftMs: clock.leftMs };
        const limitMs = getWaitLimitMs(times, maxMs);
        if (this.isClosed) {
            return { kind: "refused", why: "leaving", limitMs };
        }
        let hasWaited = false;
        const hasRoom = (): boolean => this.hasRoom(req, hasWaited || isAgain ? POLL_SHARE : 1);
        const reserve = (): true => {
            this.reserved += 1;
            this.rate.recordStart(this.opts.nowMs());
            this.order.recordStart(level);
            return true;
        };
        try {
            await this.queue.wait({
                priority: level,
                isReturned,
                deadlineAtMs: startedAtMs + limitMs,
                tryAcquire: () => hasTarget() && hasRoom() ? reserve() : undefined,
                // Only some targets may get a request again. New requests keep their order, so that small ones do not overtake large ones.
                skippable: isAgain,
                onWait: () => {
                    hasWaited = true;
                    this.recordQueue();
                },
                signal: clock.signal,
            });
            return { kind: "admitted", waitedMs: nowMs() - startedAtMs };
        }
        catch {
            const isExpired = hasWaited && nowMs() >= startedAtMs + limitMs;
            return clock.signal.aborted
                ? { kind: "ended" }
                : { kind: "refused", why: this.isClosed ? "leaving" : isExpired ? "expired" : "late", limitMs };
        }
        finally {
            this.recordQueue();
        }
    }

    private pass(req: GateRequest, waitedMs: number, isStarted: boolean): GatePass {
        if (isStarted) {
            this.served.recordStarted(req.priority, this.opts.nowMs());
            this.opts.demand.recordStarted(this.service);
        }
        return new ServicePass(this, req, { waitedMs, isReserved: isStarted });
    }

    private refuse(
        req: GateRequest,
        level: number,
        { why, limitMs }: Extract<WaitEnd, { readonly kind: "refused"; }>,
    ): GateRefusal {
        const { demand, nowMs, count } = this.opts;
        count(`waits_refused_${why}`);
        // Short waits alone are no shortage that teams have to share.
        demand.recordShort(this.service);
        const retryAfterS = this.planReturn(req.clock.leftMs);
        const servedPerS = this.rate.getPerS(nowMs());
        const estimateMs = this.estimate.estimateWaitMs({ ahead: this.queue.length, servedPerS, priority: level });
        const decidedBy: LogFields = {
            why,
            queued: this.queue.length,
            estimateMs: Math.round(estimateMs),
            limitMs: Math.round(limitMs),
            share: demand.getShares(this.service)[req.team] ?? 1,
        };
        return { refusal: why === "leaving" ? LEAVING_REFUSAL : { reason: "overloaded", retryAfterS }, decidedBy };
    }

    private getOvertakingPerS(priority: number): number {
        return this.order.isStarved(priority) ? 0 : this.served.getMoreUrgentStartsPerS(priority, this.opts.nowMs());
    }

    private countReturning(): number {
        const nowMs = this.opts.nowMs();
        this.returning = this.returning.filter(atMs => atMs > nowMs);
        return this.returning.length;
    }

    private recordShort(): void {
        const { nowMs, log } = this.opts;
        if (!this.isShort) {
            log.write("service short of room", { service: this.service });
        }
        this.shortAtMs = nowMs();
    }

    private recordQueue(): void {
        this.rate.recordQueue(this.queue.length > 0, this.opts.nowMs());
        if (this.queue.length > 0 && !this.isPolling) {
            this.isPolling = true;
            (this.opts.setTimer ?? setNodeTimer)(() => this.poll(), POLL_MS);
        }
    }

    private poll(): void {
        this.isPolling = false;
        this.queue.drain();
        this.queue.rejectLate();
        this.recordQueue();
    }
}
