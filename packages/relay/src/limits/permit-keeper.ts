import type { ColdLimit, SendPermitResponse, TargetLimitSighting } from "@ospreyreel/types";
import { BoundedMap } from "../bounded-map.js";

/** Options of {@link PermitKeeper}. */
export interface PermitKeeperOptions {
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
    /** Share of the fleet that acquires its sends here, 0 to 1; the rest may acquire them from another keeper. */
    readonly getReachableShare: () => number;
    /** The same for cold targets, whose limits may never be exceeded: 0 hands out nothing. */
    readonly getColdShare?: () => number;
}

/** How a sighting changed what is known of a limit; `cold` where the target is cold for longer than was known. */
export type LimitChange = "started" | "ended" | "changed" | "cold" | "none";

/** Limit of a cold target and the monotonic time of its end, in milliseconds. */
interface ColdTime {
    readonly perS: number;
    readonly untilMs: number;
}

interface KnownLimit {
    readonly perS: number | undefined;
    readonly seenAtMs: number;
    readonly cold: ColdTime | undefined;
}

interface Bucket extends KnownLimit {
    readonly sends: number;
    readonly filledAtMs: number;
}

/** Rate in sends a second, and how many unused sends are kept. */
interface BucketRate {
    readonly perS: number;
    readonly capacity: number;
}

/** Maximum number of targets whose limits are kept. */
const MAX_TARGETS = 4_096;

/** Time for which unused sends are kept, in seconds; at least one send is. */
const BURST_S = 0.5;

/** The same for cold targets, whose limit holds in each second and not in each four. */
const COLD_BURST_S = 0.25;

/** Sends a second to a target with a smaller limit, or none, so that the end of the limit is noticed. */
const MIN_SENDS_PER_S = 0.25;

/** Bounds of the wait that is told, in milliseconds. */
const MIN_WAIT_MS = 10;
const MAX_WAIT_MS = 4_000;

/** A cold time that ends later by less is not news, in milliseconds. */
const MIN_EXTENSION_MS = 1_000;

const MS_PER_S = 1_000;

/** Hands out the sends to targets that name a limit or are cold, one token bucket for each; a new bucket is empty. */
export class PermitKeeper {
    private readonly buckets = new BoundedMap<Bucket>(MAX_TARGETS);

    constructor(private readonly opts: PermitKeeperOptions) {}

    /** Applies a sighting, unless a later one is known. */
    apply({ target, perS, msAgo, cold }: TargetLimitSighting): LimitChange {
        const nowMs = this.opts.nowMs();
        const known = this.buckets.get(target);
        const isNewer = known === undefined || known.seenAtMs < nowMs - msAgo;
        const next: KnownLimit = {
            perS: isNewer ? perS : known.perS,
            seenAtMs: isNewer ? nowMs - msAgo : known.seenAtMs,
            cold: extend(known?.cold, cold, nowMs),
        };
        const filled = known === undefined || this.getRate(known) === undefined
            ? { sends: 0, filledAtMs: nowMs }
            : this.fill(known);
        this.buckets.set(target, { ...next, ...filled });
        if (next.perS !== known?.perS) {
            return known?.perS === undefined ? "started" : next.perS === undefined ? "ended" : "changed";
        }
        const isColdLonger = (next.cold?.untilMs ?? 0) > Math.max(nowMs, known?.cold?.untilMs ?? 0) + MIN_EXTENSION_MS;
        return isColdLonger ? "cold" : "none";
    }

    /** Whether a target is cold, as far as is known here. */
    isCold(target: string): boolean {
        return (this.buckets.get(target)?.cold?.untilMs ?? 0) > this.opts.nowMs();
    }

    /** Takes one send, by the limit that the acquiring instance knows or a later one. */
    acquire(limit: TargetLimitSighting): SendPermitResponse {
        this.apply(limit);
        const { target } = limit;
        const known = this.buckets.get(target);
        const rate = known === undefined ? undefined : this.getRate(known);
        if (known === undefined || rate === undefined) {
            return { granted: true, waitMs: 0, limit: this.getSighting(limit) };
        }
        const { sends, filledAtMs } = this.fill(known);
        const granted = sends >= 1;
        this.buckets.set(target, { ...known, sends: granted ? sends - 1 : sends, filledAtMs });
        const waitMs = (1 - sends) / rate.perS * MS_PER_S;
        return {
            granted,
            waitMs: granted ? 0 : Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, waitMs)),
            limit: this.getSighting(limit),
        };
    }

    /** What is known of a target's limit, beside what the acquiring instance says. */
    getSighting(limit: TargetLimitSighting): TargetLimitSighting {
        const known = this.buckets.get(limit.target);
        if (known === undefined) {
            return { ...limit, perS: undefined };
        }
        const { perS, seenAtMs, cold } = known;
        const nowMs = this.opts.nowMs();
        const isCold = cold !== undefined && cold.untilMs > nowMs;
        return {
            target: limit.target,
            perS,
            msAgo: nowMs - seenAtMs,
            ...(isCold ? { cold: { perS: cold.perS, leftMs: cold.untilMs - nowMs } } : {}),
        };
    }

    /** The smaller one of the named limit and that of a cold target; undefined where there is none. */
    private getRate({ perS, cold }: KnownLimit): BucketRate | undefined {
        const { getReachableShare, getColdShare = () => 1, nowMs } = this.opts;
        const named = perS === undefined
            ? undefined
            : createRate(Math.max(MIN_SENDS_PER_S, perS * getReachableShare()), BURST_S);
        if (cold === undefined || cold.untilMs <= nowMs()) {
            return named;
        }
        const whileCold = createRate(cold.perS * getColdShare(), COLD_BURST_S);
        return named === undefined ? whileCold : {
            perS: Math.min(named.perS, whileCold.perS),
            capacity: Math.min(named.capacity, whileCold.capacity),
        };
    }

    private fill(bucket: Bucket): Pick<Bucket, "sends" | "filledAtMs"> {
        const nowMs = this.opts.nowMs();
        const { perS, capacity } = this.getRate(bucket) ?? { perS: 0, capacity: 0 };
        const added = perS * (nowMs - bucket.filledAtMs) / MS_PER_S;
        return { sends: Math.min(capacity, bucket.sends + added), filledAtMs: nowMs };
    }
}

const createRate = (perS: number, burstS: number): BucketRate => ({ perS, capacity: Math.max(1, perS * burstS) });

/** Keeps the later end of a cold time, and the newest limit. */
const extend = (known: ColdTime | undefined, told: ColdLimit | undefined, nowMs: number): ColdTime | undefined =>
    told === undefined ? known : {
        perS: told.perS,
        untilMs: Math.max(known?.untilMs ?? 0, nowMs + told.leftMs),
    };
