import { OspreyError } from "@ospreyreel/errors";
import type { Counters } from "@ospreyreel/telemetry";
import { fromEvent } from "most";
import type { AcquiredTarget, AcquireOptions, TargetPool } from "../pool/target-pool.js";
import type { AdmissionPolicy } from "./admission-policy.js";
import { DeadlineQueue } from "./deadline-queue.js";
import { ServiceRateMeter } from "./service-rate-meter.js";

/** Options of {@link AdmissionGate}. */
export interface AdmissionGateOptions {
    readonly pool: TargetPool;
    readonly policy: AdmissionPolicy;
    readonly counters: Counters;
    /** Monotonic clock, in milliseconds. */
    readonly now?: () => number;
}

/** A request for a target. */
export interface AdmissionRequest extends AcquireOptions {
    /** 0 (first) to 9 (last). */
    readonly priority: number;
    /** Maximum wait for a target, in milliseconds. */
    readonly timeLeftMs: number;
    readonly signal?: AbortSignal | undefined;
}

interface OfferingGate {
    readonly queue: DeadlineQueue<AcquiredTarget>;
    readonly meter: ServiceRateMeter;
}

const createNoTargetError = (): OspreyError => new OspreyError("no target is available", { result: "noTarget" });

/** Gives each request a target immediately or after a wait within its deadline, or rejects it. */
export class AdmissionGate {
    private readonly gates = new Map<string, OfferingGate>();
    private readonly now: () => number;

    constructor(private readonly opts: AdmissionGateOptions) {
        this.now = opts.now ?? (() => performance.now());
    }

    /** Follows the pool's changes until the signal is aborted; admits waiting requests as targets become free. */
    async run(signal: AbortSignal): Promise<void> {
        if (!signal.aborted) {
            await this.opts.pool.changes().until(fromEvent("abort", signal)).observe(() => this.drain());
        }
    }

    /** Acquires a target. Throws `noTarget` or `overloaded`, both certainly not run, or the signal's reason. */
    async admit(req: AdmissionRequest): Promise<AcquiredTarget> {
        if (this.opts.pool.getOfferingState(req) === "none") {
            throw createNoTargetError();
        }
        const { queue, meter } = this.getGate(req.offering);
        try {
            return await queue.wait({
                priority: req.priority,
                deadlineAtMs: this.now() + req.timeLeftMs,
                tryAcquire: () => this.tryAcquire(req, meter),
                skippable: req.exclude !== undefined && req.exclude.size > 0,
                signal: req.signal,
            });
        }
        catch (err) {
            this.opts.counters.add("admission_refused");
            throw err;
        }
    }

    /** Admits waiting requests of all offerings by rank, and rejects those that can no longer be served in time. */
    drain(): void {
        const waiting = [...this.gates].filter(([, { queue }]) => queue.length > 0);
        for (const [offering, { queue }] of waiting) {
            if (this.opts.pool.getOfferingState({ offering }) === "none") {
                queue.rejectAll(createNoTargetError);
            }
        }
        let candidates = waiting.map(([, { queue }]) => queue).filter(queue => queue.length > 0);
        while (candidates.length > 0) {
            const first = candidates.reduce((a, b) => (b.firstRank ?? 0) < (a.firstRank ?? 0) ? b : a);
            const isAdmitted = first.admitNext();
            candidates = candidates.filter(queue => queue.length > 0 && (isAdmitted || queue !== first));
        }
        waiting.forEach(([, { queue }]) => queue.rejectLate());
    }

    /** Number of requests that wait for an offering. */
    getQueueLength(offering: string): number {
        return this.gates.get(offering)?.queue.length ?? 0;
    }

    /** Number of waiting requests of each offering that was ever requested. */
    getQueueLengths(): Readonly<Record<string, number>> {
        return Object.fromEntries([...this.gates].map(([offering, { queue }]) => [offering, queue.length]));
    }

    private tryAcquire(req: AdmissionRequest, meter: ServiceRateMeter): AcquiredTarget | undefined {
        const acquired = this.opts.pool.acquire(req);
        if (acquired === undefined) {
            return undefined;
        }
        const startedAtMs = this.now();
        let released = false;
        meter.recordStart();
        return {
            target: acquired.target,
            release: outcome => {
                if (!released) {
                    released = true;
                    meter.recordEnd(this.now() - startedAtMs);
                }
                acquired.release(outcome);
            },
        };
    }

    private getGate(offering: string): OfferingGate {
        const known = this.gates.get(offering);
        if (known !== undefined) {
            return known;
        }
        const meter = new ServiceRateMeter();
        const queue = new DeadlineQueue<AcquiredTarget>({
            policy: this.opts.policy,
            getServedPerS: () => this.getServedPerS(offering),
            otherQueues: {
                countAhead: rank =>
                    this.getGatesSharingTargets(offering).reduce((sum, gate) => sum + gate.queue.countAhead(rank), 0),
            },
            now: this.now,
        });
        const gate: OfferingGate = { queue, meter };
        this.gates.set(offering, gate);
        return gate;
    }

    /** Gates of other offerings that have targets in common with this one. */
    private getGatesSharingTargets(offering: string): readonly OfferingGate[] {
        return [...this.gates]
            .filter(([other]) => other !== offering && this.opts.pool.sharesTargets(offering, other))
            .map(([, gate]) => gate);
    }

    /** Rate at which places on the offering's targets become free, over all offerings that share them. */
    private getServedPerS(offering: string): number | undefined {
        const own = this.gates.get(offering);
        const rates = [...(own === undefined ? [] : [own]), ...this.getGatesSharingTargets(offering)]
            .map(({ meter }) => meter.servedPerS)
            .filter(rate => rate !== undefined);
        return rates.length === 0 ? undefined : rates.reduce((sum, rate) => sum + rate, 0);
    }
}
