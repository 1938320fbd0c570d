import { BoundedMap } from "../bounded-map.js";
import { isWholeRequest } from "./watched-request.js";

/** A crash of a target in which a request with the part was lost before its answer began. */
export interface AccusingCrash {
    /** Names one start of one target. */
    readonly crash: string;
    /** Monotonic time of the crash, in milliseconds. */
    readonly atMs: number;
    /** Monotonic time at which the lost request was sent, in milliseconds. */
    readonly sentAtMs: number;
    /** Number of shared parts that follow this one in the prompt. */
    readonly followers: number;
}

/** Evidence against one part. */
export interface PartEvidence {
    /** Number of separate crashes; those close to each other count once. */
    readonly separateCrashes: number;
    /** All crashes. */
    readonly crashes: readonly string[];
    /** Time of the first crash, in milliseconds. */
    readonly firstAtMs: number;
    /** Smallest number of shared parts that followed this one in a prompt. */
    readonly followers: number;
}

const NO_EVIDENCE: PartEvidence = { separateCrashes: 0, crashes: [], firstAtMs: 0, followers: 0 };

/** Maximum number of accused parts. */
const MAX_PARTS = 4_096;

/** Maximum number of crashes that are kept for one part. */
const MAX_CRASHES_PER_PART = 16;

/** Time for which a crash counts against a part, in milliseconds. */
const CRASH_TTL_MS = 600_000;

/** Crashes closer to each other than this may have one common cause and count once, in milliseconds. */
const MIN_CRASH_GAP_MS = 100;

/**
 * By how much a send may seem to begin before the crash that it followed, in milliseconds: the delays of two messages between
 * instances.
 */
const ORDER_TOLERANCE_MS = 25;

/** Whether one crash has not the same cause as another one before it, however close they are. */
const isSeparate = (part: string, before: AccusingCrash, { atMs, sentAtMs }: AccusingCrash): boolean =>
    atMs - before.atMs >= MIN_CRASH_GAP_MS
    // A whole request that is sent again and meets another crash at once went from target to target.
    || (isWholeRequest(part) && sentAtMs >= before.atMs - ORDER_TOLERANCE_MS);

/** Crashes by part of the lost requests' prompts. */
export class AccusationTable {
    private readonly crashes = new BoundedMap<readonly AccusingCrash[]>(MAX_PARTS);

    /** Number of accused parts. */
    get size(): number {
        return this.crashes.size;
    }

    /** Adds a crash; returns whether it is new for the part. */
    add(part: string, added: AccusingCrash): boolean {
        const known = this.crashes.get(part) ?? [];
        const same = known.find(({ crash }) => crash === added.crash);
        const followers = Math.min(added.followers, same?.followers ?? added.followers);
        const merged = { ...(same ?? added), followers };
        const rest = known.filter(crash => crash !== same && added.atMs - crash.atMs < CRASH_TTL_MS);
        this.crashes.set(part, [...rest, merged].slice(-MAX_CRASHES_PER_PART));
        return same === undefined;
    }

    /** Removes the crashes up to a time; an answer with the part has begun since. */
    removeUntil(part: string, atMs: number): void {
        const left = (this.crashes.get(part) ?? []).filter(crash => crash.atMs > atMs);
        if (left.length === 0) {
            this.crashes.delete(part);
        }
        else {
            this.crashes.set(part, left);
        }
    }

    /** Evidence by the crashes that no part under quarantine explains. */
    getEvidence(part: string, isExplained: (crash: string, crashCount: number) => boolean): PartEvidence {
        const known = this.crashes.get(part) ?? [];
        const open = known.filter(({ crash }) => !isExplained(crash, known.length))
            .toSorted((a, b) => a.atMs - b.atMs);
        const [first] = open;
        if (first === undefined) {
            return NO_EVIDENCE;
        }
        let separateCrashes = 1;
        let lastCounted = first;
        for (const crash of open) {
            if (crash !== first && isSeparate(part, lastCounted, crash)) {
                separateCrashes += 1;
                lastCounted = crash;
            }
        }
        return {
            separateCrashes,
            crashes: known.map(({ crash }) => crash),
            firstAtMs: first.atMs,
            followers: Math.min(...open.map(({ followers }) => followers)),
        };
    }
}
