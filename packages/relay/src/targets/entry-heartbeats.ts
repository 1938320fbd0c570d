import type { KvEntry } from "@ospreyreel/kv";
import { isDeepStrictEqual } from "node:util";
import { BoundedMap } from "../bounded-map.js";
import { ENTRY_LAG_MS } from "../limits/target-cold.js";
import type { TargetCodec } from "./target-codec.js";
import { getStartKey, type Target } from "./target.js";

/** Options of {@link EntryHeartbeats}. */
export interface EntryHeartbeatsOptions {
    readonly codec: Pick<TargetCodec, "getTargetId" | "decode">;
    /** Monotonic time in milliseconds; `performance.now` by default. */
    readonly nowMs?: () => number;
    /** Time of day in milliseconds; `Date.now` by default. */
    readonly wallMs?: () => number;
}

/** Difference between the expected and the announced rest of a cold time that is only the way of the entry, in milliseconds. */
const MAX_DRIFT_MS = 2_000;

const MAX_STARTS = 4_096;

/** What a start of a target last announced of its cold time. */
interface AnnouncedCold {
    readonly untilMs: number;
    /** Whether it was announced when the entry is taken to tell whether the target is cold. */
    readonly isSettled: boolean;
}

/** Tells heartbeats of targets, which write their entries again, from changes that all instances have to know. */
export class EntryHeartbeats {
    private readonly announced = new BoundedMap<AnnouncedCold>(MAX_STARTS);
    private readonly nowMs: () => number;
    private readonly wallMs: () => number;

    constructor(private readonly opts: EntryHeartbeatsOptions) {
        this.nowMs = opts.nowMs ?? (() => performance.now());
        this.wallMs = opts.wallMs ?? (() => Date.now());
    }

    /** Whether an entry is written again without news. A cold time that runs down is none. */
    isHeartbeat(before: KvEntry, after: KvEntry): boolean {
        const { codec } = this.opts;
        const id = codec.getTargetId(after.key);
        if (id === undefined) {
            return false;
        }
        const known = codec.decode(id, before.value);
        const target = codec.decode(id, after.value);
        if (known === undefined || target === undefined) {
            return known === target;
        }
        const isColdAsKnown = this.isColdAsKnown(known, target);
        return isColdAsKnown && isDeepStrictEqual(withoutCold(known), withoutCold(target));
    }

    private isColdAsKnown(known: Target, target: Target): boolean {
        const { coldRemainingMs } = target;
        if (coldRemainingMs === undefined) {
            return known.coldRemainingMs === undefined;
        }
        const nowMs = this.nowMs();
        const key = getStartKey(target);
        const earlier = this.announced.get(key);
        const isSettled = target.startedAtMs === undefined || this.wallMs() - target.startedAtMs > ENTRY_LAG_MS;
        this.announced.set(key, { untilMs: nowMs + coldRemainingMs, isSettled });
        // The first entry that is taken to tell all is news to those that take a new target for cold.
        const hasSettled = isSettled && earlier?.isSettled !== true;
        const wasCold = (known.coldRemainingMs ?? 0) > 0;
        const expectedMs = Math.max(0, (earlier?.untilMs ?? nowMs + (known.coldRemainingMs ?? 0)) - nowMs);
        return !hasSettled && wasCold === coldRemainingMs > 0 && Math.abs(coldRemainingMs - expectedMs) <= MAX_DRIFT_MS;
    }
}

const withoutCold = (target: Target): Target => ({ ...target, coldRemainingMs: undefined });
