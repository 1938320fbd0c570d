import type { SendPermitResponse, TargetLimitSighting } from "@ospreyreel/types";
import { BoundedMap } from "../bounded-map.js";

/** Options of {@link PermitKeeper}. */
export interface PermitKeeperOptions {
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
    /** Share of the fleet that acquires its sends here, 0 to 1; the rest may acquire them from another keeper. */
    readonly getReachableShare: () => number;
}

/** How a sighting changed what is known of a limit. */
export type LimitChange = "started" | "ended" | "changed" | "none";

interface Bucket {
    readonly perS: number | undefined;
    readonly seenAtMs: number;
    readonly sends: number;
    readonly filledAtMs: number;
}

/** Maximum number of targets whose limits are kept. */
const MAX_TARGETS = 4_096;

/** Time for which unused sends are kept, in seconds; at least one send is. */
const BURST_S = 0.5;

/** Sends a second to a target with a smaller limit, or none, so that the end of the limit is noticed. */
const MIN_SENDS_PER_S = 0.25;

/** Shortest wait that is told, in milliseconds. */
const MIN_WAIT_MS = 10;

const MS_PER_S = 1_000;

/** Hands out the sends to targets that name a limit, one token bucket for each; a new bucket is empty. */
export class PermitKeeper {
    private readonly buckets = new BoundedMap<Bucket>(MAX_TARGETS);

    constructor(private readonly opts: PermitKeeperOptions) {}

    /** Applies a sighting, unless a later one is known. */
    apply({ target, perS, msAgo }: TargetLimitSighting): LimitChange {
        const nowMs = this.opts.nowMs();
        const seenAtMs = nowMs - msAgo;
        const known = this.buckets.get(target);
        if (known !== undefined && known.seenAtMs >= seenAtMs) {
            return "none";
        }
        const isNew = known?.perS === undefined;
        const filled = known === undefined || isNew ? { sends: 0, filledAtMs: nowMs } : this.fill(known);
        this.buckets.set(target, { ...filled, perS, seenAtMs });
        if (perS === known?.perS) {
            return "none";
        }
        return isNew ? "started" : perS === undefined ? "ended" : "changed";
    }

    /** Takes one send, by the limit that the acquiring instance knows or a later one. */
    acquire(limit: TargetLimitSighting): SendPermitResponse {
        this.apply(limit);
        const nowMs = this.opts.nowMs();
        const known = this.buckets.get(limit.target);
        if (known?.perS === undefined) {
            const msAgo = known === undefined ? limit.msAgo : nowMs - known.seenAtMs;
            return { granted: true, waitMs: 0, limit: { ...limit, perS: undefined, msAgo } };
        }
        const { perS, seenAtMs } = known;
        const { sends, filledAtMs } = this.fill(known);
        const granted = sends >= 1;
        this.buckets.set(limit.target, { perS, seenAtMs, sends: granted ? sends - 1 : sends, filledAtMs });
        return {
            granted,
            waitMs: granted ? 0 : Math.max(MIN_WAIT_MS, (1 - sends) / this.getRate(perS) * MS_PER_S),
            limit: { target: limit.target, perS, msAgo: nowMs - seenAtMs },
        };
    }

    private getRate(perS: number): number {
        return Math.max(MIN_SENDS_PER_S, perS * this.opts.getReachableShare());
    }

    private fill({ perS = 0, sends, filledAtMs }: Bucket): Pick<Bucket, "sends" | "filledAtMs"> {
        const nowMs = this.opts.nowMs();
        const rate = this.getRate(perS);
        const capacity = Math.max(1, rate * BURST_S);
        return { sends: Math.min(capacity, sends + rate * (nowMs - filledAtMs) / MS_PER_S), filledAtMs: nowMs };
    }
}
