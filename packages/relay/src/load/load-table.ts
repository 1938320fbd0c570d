import { hash32 } from "@ospreyreel/peer";
import type { TargetDirectory } from "../targets/target-directory.js";
import { getStartKey, type Target } from "../targets/target.js";
import type { TargetReading } from "./target-reading.js";
import type { TargetReport } from "./target-report.js";

/** Options of {@link LoadTable}. */
export interface LoadTableOptions {
    readonly directory: Pick<TargetDirectory, "list" | "onChange">;
}

/** The newest known report of one start of a target. */
export interface KnownReport extends TargetReport {
    /** Monotonic time of its values, in milliseconds. */
    readonly atMs: number;
    /** Mean growth of running and queued requests between reports, per millisecond. */
    readonly requestsPerMs: number;
    /** Mean growth of the used tokens between reports, per millisecond. */
    readonly tokensPerMs: number;
}

/** Weight of the newest difference of two reports in the mean growth. */
const NEWEST_WEIGHT = 0.2;

/** Shortest time between two reports from which a growth is computed, in milliseconds. */
const MIN_STEP_MS = 50;

/** Reports of the announced targets, by the digest of their starts; one is forgotten with its target. */
export class LoadTable {
    private readonly reports = new Map<number, KnownReport>();
    /** Digests by start; those that two starts share are left out. */
    private digests = new Map<string, number>();
    private starts = new Set<number>();

    constructor(private readonly opts: LoadTableOptions) {
        opts.directory.onChange(() => this.update());
        this.update();
    }

    /** Number of reports. */
    get size(): number {
        return this.reports.size;
    }

    /** Digest of a target's start; undefined where it cannot be told from another one. */
    getDigest(target: Target): number | undefined {
        return this.digests.get(getStartKey(target));
    }

    /** The newest report of a target; undefined where there is none. */
    get(target: Target): KnownReport | undefined {
        const digest = this.getDigest(target);
        return digest === undefined ? undefined : this.reports.get(digest);
    }

    /** Takes over a reading that is not older than the known one. */
    put(reading: TargetReading, nowMs: number): void {
        const { start, ageMs, running, queued, usedTokens, capacityTokens } = reading;
        const atMs = nowMs - ageMs;
        const known = this.reports.get(start);
        if (known === undefined ? !this.starts.has(start) : known.atMs >= atMs) {
            return;
        }
        this.reports.set(start, {
            running,
            queued,
            usedTokens,
            capacityTokens,
            atMs,
            ...getGrowth(known, reading, atMs),
        });
    }

    private update(): void {
        const digests = new Map<string, number>();
        const owners = new Map<number, string>();
        for (const { target } of this.opts.directory.list()) {
            const key = getStartKey(target);
            const digest = this.digests.get(key) ?? hash32(key);
            const other = owners.get(digest);
            if (other !== undefined) {
                digests.delete(other);
                continue;
            }
            owners.set(digest, key);
            digests.set(key, digest);
        }
        this.digests = digests;
        this.starts = new Set(digests.values());
        [...this.reports.keys()].filter(start => !this.starts.has(start)).forEach(start => this.reports.delete(start));
    }
}

const getGrowth = (
    known: KnownReport | undefined,
    reading: TargetReport,
    atMs: number,
): Pick<KnownReport, "requestsPerMs" | "tokensPerMs"> => {
    if (known === undefined) {
        return { requestsPerMs: 0, tokensPerMs: 0 };
    }
    const stepMs = Math.max(MIN_STEP_MS, atMs - known.atMs);
    const requests = (reading.running + reading.queued - known.running - known.queued) / stepMs;
    const tokens = (reading.usedTokens - known.usedTokens) / stepMs;
    return {
        requestsPerMs: known.requestsPerMs + NEWEST_WEIGHT * (requests - known.requestsPerMs),
        tokensPerMs: known.tokensPerMs + NEWEST_WEIGHT * (tokens - known.tokensPerMs),
    };
};
