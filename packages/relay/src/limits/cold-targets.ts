import type { ColdLimit } from "@ospreyreel/types";
import type { RelayService } from "../document/relay-document.js";
import type { TargetState } from "../targets/target-state.js";

/** Options of {@link ColdTargets}. */
export interface ColdTargetsOptions {
    /** Finds a service in the active desired state. */
    readonly findService: (service: string) => RelayService | undefined;
    /** Monotonic time in milliseconds; `performance.now` by default. */
    readonly nowMs?: () => number;
}

/**
 * Time after which a permit to send to a cold target is not used any more, in milliseconds. Sends that waited together for connections
 * would otherwise arrive together; with the burst of a keeper, a quarter of the limit, it is half of what the limit may be exceeded by.
 */
const PERMIT_TTL_MS = 250;

/**
 * Time for which others are told that a target is cold only because it is new, in milliseconds; its entry may tell otherwise by then. It is
 * told again with each send.
 */
const ASSUMED_TOLD_MS = 3_000;

/** Tells which targets are cold, and so take only the requests a second that their service allows for that. */
export class ColdTargets {
    private readonly nowMs: () => number;

    constructor(private readonly opts: ColdTargetsOptions) {
        this.nowMs = opts.nowMs ?? (() => performance.now());
    }

    /** The limit of a cold target; undefined where it is warm, or its service has no limit for cold targets. */
    getLimit({ target, cold }: TargetState): ColdLimit | undefined {
        const { coldPerS = 0, coldStartMs = 0 } = this.opts.findService(target.service) ?? {};
        if (coldPerS <= 0) {
            return undefined;
        }
        const leftMs = cold.getLeftMs(this.nowMs(), coldStartMs);
        return leftMs > 0 ? { perS: coldPerS, leftMs } : undefined;
    }

    /** The limit as other instances are told. */
    getSharedLimit(state: TargetState): ColdLimit | undefined {
        const limit = this.getLimit(state);
        if (limit === undefined) {
            return undefined;
        }
        const toldMs = state.cold.getToldLeftMs(this.nowMs());
        return { ...limit, leftMs: Math.max(toldMs, Math.min(limit.leftMs, ASSUMED_TOLD_MS)) };
    }

    /** Whether a send that was permitted at a monotonic time, in milliseconds, may still begin. */
    mayStart(state: TargetState, permittedAtMs: number): boolean {
        return this.nowMs() - permittedAtMs <= PERMIT_TTL_MS || this.getLimit(state) === undefined;
    }
}
